/**
 * Keeps the configuration up to date from the store and from peers.
 *
 * @module
 */

import { CURRENT_KEY, loadSnapshot } from "@dotterelmoor/config.changing";
import { createConfigurationReplica } from "@dotterelmoor/core.configuring";
import type {
  ConfigurationAction,
  ConfigurationEvent,
  ConfigurationReplica,
} from "@dotterelmoor/core.configuring";
import type {
  ConfigurationSnapshot,
  DisposableStore,
  Random,
} from "@dotterelmoor/core.types";
import type { PeerMessage, PeerPool } from "@dotterelmoor/network.peering";
import type { PlatformClient } from "@dotterelmoor/network.platform";
import type { Logger } from "pino";
import type { Clock } from "./clock.ts";
import { startInterval } from "./intervals.ts";
import { createMachineDriver } from "./machine_driver.ts";
import type { CreateMachine } from "./recording.ts";

const TICK_MS = 100;
const PULL_TIMEOUT_MS = 1_000;

/** Options of `createConfigurationComponent`. */
export interface ConfigurationComponentOptions {
  readonly seeds: readonly string[];
  readonly random: Random;
  readonly clock: Clock;
  readonly platform: PlatformClient;
  readonly peers: PeerPool;
  readonly store: DisposableStore;
  readonly createMachine: CreateMachine;
  readonly log: Logger;
  readonly onApply: (snapshot: ConfigurationSnapshot) => void;
  /** Called when this process may serve, possibly more than once. */
  readonly onReady: () => void;
}

/** Configuration of this process. */
export interface ConfigurationComponent {
  readonly replica: ConfigurationReplica;
  send(event: ConfigurationEvent): void;
  /** Reads the store now, after a change was committed through this entry. */
  readStore(): void;
  /** Answers a peer that asks for a newer configuration. */
  answerPull(sequence: number): PeerMessage;
}

/** Creates the configuration of this process. */
export function createConfigurationComponent(
  options: ConfigurationComponentOptions,
): ConfigurationComponent {
  const replica = options.createMachine({
    module: "configuring",
    create: createConfigurationReplica,
    options: {
      seeds: options.seeds,
      random: options.random,
    },
  });
  const driver = createMachineDriver<ConfigurationEvent, ConfigurationAction>({
    machine: replica,
    clock: options.clock,
    handlers: {
      apply: ({ snapshot }) => {
        options.log.info(
          { sequence: snapshot.sequence },
          "Configuration version applied.",
        );
        options.onApply(snapshot);
      },
      push: ({ addresses, snapshot }) => {
        for (const address of addresses) {
          options.peers.notify(address, {
            type: "config_push",
            snapshot,
            forward: true,
          });
        }
      },
      pull: ({ address }) => void pull(address),
      read_store: () => void readStore("store"),
    },
  });

  function send(event: ConfigurationEvent): void {
    driver.send(event);
    if (replica.isReady() && replica.current() !== undefined) options.onReady();
  }

  async function pull(address: string): Promise<void> {
    const sequence = replica.current()?.sequence ?? 0;
    const result = await options.peers.call(
      address,
      { type: "config_pull", sequence },
      { timeoutMs: PULL_TIMEOUT_MS },
    );
    const message = result.type === "answered" ? result.message : undefined;
    if (message?.type === "config_push") {
      const { snapshot } = message;
      send({ type: "snapshot", snapshot, source: "peer" });
      send({
        type: "seed_answered",
        address,
        sequence: snapshot.sequence,
      });
    } else if (message?.type === "config_unchanged") {
      send({
        type: "seed_answered",
        address,
        sequence: message.sequence,
      });
    } else {
      send({ type: "seed_failed", address });
    }
  }

  async function readStore(source: "store" | "commit"): Promise<void> {
    const current = await options.platform.read(CURRENT_KEY);
    if (current.type === "unavailable") {
      send({ type: "store_read", result: "unavailable" });
      return;
    }
    const sequence = current.rows[0]?.value ?? 0;
    if (typeof sequence !== "number" || sequence === 0) {
      send({ type: "store_read", result: "empty" });
    } else if (sequence <= (replica.current()?.sequence ?? 0)) {
      send({ type: "store_read", result: "unchanged" });
    } else {
      await loadFromStore(source);
    }
  }

  async function loadFromStore(source: "store" | "commit"): Promise<void> {
    const loaded = await loadSnapshot(options.platform);
    if (loaded.isOk()) {
      send({ type: "snapshot", snapshot: loaded.value, source });
    } else {
      options.log.warn(
        { code: loaded.error.code },
        "Cannot read the configuration from the store.",
      );
      send({ type: "store_read", result: "unavailable" });
    }
  }

  startInterval(options.store, TICK_MS, () => send({ type: "tick" }));
  return {
    replica,
    send,
    readStore: () => void readStore("commit"),
    answerPull: (sequence) => {
      // An entry that may not serve yet answers with sequence 0, which does not
      // count as an answer in the peer's cold start.
      const snapshot = replica.isReady() ? replica.current() : undefined;
      if (snapshot === undefined || snapshot.sequence <= sequence) {
        return {
          type: "config_unchanged",
          sequence: snapshot?.sequence ?? 0,
        };
      }
      return { type: "config_push", snapshot, forward: false };
    },
  };
}
