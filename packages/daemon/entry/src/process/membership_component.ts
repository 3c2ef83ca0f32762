/**
 * Drives the membership with messages over peer connections.
 *
 * @module
 */

import { createMembership } from "@dotterelmoor/core.membership";
import type {
  MemberRecord,
  Membership,
  MembershipEvent,
  MembershipMessage,
  MemberState,
} from "@dotterelmoor/core.membership";
import type {
  DisposableStore,
  JsonValue,
  Random,
} from "@dotterelmoor/core.types";
import type { PeerPool } from "@dotterelmoor/network.peering";
import type { Logger } from "pino";
import type { Clock } from "./clock.ts";
import { startInterval } from "./intervals.ts";
import { createMachineDriver } from "./machine_driver.ts";
import type { CreateMachine } from "./recording.ts";

const TICK_MS = 100;

/** Options of `createMembershipComponent`. */
export interface MembershipComponentOptions {
  readonly self: MemberRecord;
  readonly seeds: readonly string[];
  readonly random: Random;
  readonly clock: Clock;
  readonly peers: PeerPool;
  readonly store: DisposableStore;
  readonly createMachine: CreateMachine;
  readonly log: Logger;
  readonly onMemberChanged: (member: MemberRecord, state: MemberState) => void;
  readonly onStateChanged: (key: string, value: JsonValue) => void;
  readonly onDigest: (address: string, sequence: number) => void;
}

/** Membership of this process. */
export interface MembershipComponent {
  readonly membership: Membership;
  /** Peer address of this process. */
  readonly address: string;
  start(): void;
  send(event: MembershipEvent): void;
  /** Finds the peer address of the live member with an incarnation. */
  findAddress(incarnation: number): string | undefined;
  /** Finds the member with a process id, unless it is dead. */
  findProcess(processId: string): MemberRecord | undefined;
}

/** Creates the membership of this process; `start` makes it join. */
export function createMembershipComponent(
  options: MembershipComponentOptions,
): MembershipComponent {
  const membership = options.createMachine({
    module: "membership",
    create: createMembership,
    options: {
      self: options.self,
      seeds: options.seeds,
      random: options.random,
    },
  });
  const driver = createMachineDriver({
    machine: membership,
    clock: options.clock,
    handlers: {
      send: ({ address, message }) =>
        options.peers.notify(address, { type: "membership", message }),
      member_changed: ({ member, state }) => {
        options.log.info({ member: member.instance, state }, "Member changed.");
        options.onMemberChanged(member, state);
      },
      state_changed: ({ key, value }) => options.onStateChanged(key, value),
      digest: ({ address, sequence }) => options.onDigest(address, sequence),
    },
  });
  startInterval(options.store, TICK_MS, () => driver.send({ type: "tick" }));
  return {
    membership,
    address: options.self.peerAddress,
    start: () => driver.send({ type: "start" }),
    send: (event) => driver.send(event),
    findAddress: (incarnation) =>
      membership.liveMembers().find((member) =>
        member.incarnation === incarnation
      )?.peerAddress,
    findProcess: (processId) =>
      membership.members().find((member) =>
        member.processId === processId && member.state !== "dead"
      ),
  };
}

/** Passes a peer's message to the membership. */
export function applyMembershipMessage(
  component: MembershipComponent,
  message: unknown,
): void {
  const typed = message as MembershipMessage;
  component.send({
    type: "message",
    fromAddress: typed.sender.peerAddress,
    message: typed,
  });
}
