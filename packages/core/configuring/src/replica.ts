/**
 * The configuration replica.
 *
 * @module
 */

import { applyEvent } from "@dotterelmoor/core.types";
import type {
  ConfigurationSnapshot,
  EventHandlers,
} from "@dotterelmoor/core.types";
import { ColdStart } from "./cold_start.ts";
import type {
  ConfigurationAction,
  ConfigurationEvent,
  ConfigurationReplica,
  ConfigurationReplicaOptions,
  ConfigurationStatus,
  SnapshotSource,
} from "./options.ts";
import { Puller } from "./pulling.ts";

const SEED_RETRY_MS = 500;
/** Time within which the first wave of pushes reaches most entries. */
const REPAIR_DELAY_MS = 200;

/** Creates the configuration replica of one entry process. */
export function createConfigurationReplica(
  options: ConfigurationReplicaOptions,
): ConfigurationReplica {
  return new Replica(options);
}

class Replica implements ConfigurationReplica {
  readonly #options: Required<ConfigurationReplicaOptions>;
  readonly #coldStart: ColdStart;
  readonly #puller: Puller;
  #current: ConfigurationSnapshot | undefined;
  #source: SnapshotSource | "none" = "none";
  #peers: readonly string[] = [];
  #entries = 1;
  /** The first read is due at once, because a cold start waits for it. */
  #nextReadMs = -Infinity;
  #readCount = 0;
  #appliedAtMs = -Infinity;
  readonly #pushedAtMs = new Map<string, number>();
  #storeSilentSinceMs: number | undefined;

  constructor(options: ConfigurationReplicaOptions) {
    this.#options = {
      pushCount: 3,
      readsPerSecond: 10,
      minReadIntervalMs: 1_000,
      pullTimeoutMs: 500,
      seedTimeoutMs: 2_000,
      ...options,
    };
    const { seeds, seedTimeoutMs, pullTimeoutMs } = this.#options;
    this.#coldStart = new ColdStart({
      seeds,
      seedTimeoutMs,
      retryMs: SEED_RETRY_MS,
    });
    this.#puller = new Puller(pullTimeoutMs);
  }

  readonly #handlers: EventHandlers<ConfigurationEvent, ConfigurationAction[]> =
    {
      snapshot: (event, nowMs) => {
        if (event.source !== "peer") this.#recordStoreAnswer();
        return this.#applySnapshot(event.snapshot, event.source, nowMs);
      },
      digest: (event, nowMs) => [
        ...this.#pull(event.address, event.sequence, nowMs),
        ...this.#repair(event.address, event.sequence, nowMs),
      ],
      store_read: (event, nowMs) => {
        if (event.result === "unavailable") {
          this.#storeSilentSinceMs ??= nowMs;
        } else {
          this.#recordStoreAnswer();
        }
        return [];
      },
      peers: (event) => {
        this.#peers = event.addresses;
        this.#entries = Math.max(1, event.entries);
        return [];
      },
      seed_answered: (event, nowMs) => {
        this.#coldStart.recordAnswer(event.address, event.sequence);
        this.#coldStart.settle(this.#getSequence(), nowMs);
        return this.#pull(event.address, event.sequence, nowMs);
      },
      seed_failed: (event) => {
        this.#coldStart.recordFailure(event.address);
        return [];
      },
      tick: (_event, nowMs) => this.#tick(nowMs),
    };

  handle(event: ConfigurationEvent, nowMs: number): ConfigurationAction[] {
    return applyEvent(this.#handlers, event, nowMs);
  }

  current(): ConfigurationSnapshot | undefined {
    return this.#current;
  }

  isReady(): boolean {
    return this.#coldStart.ready;
  }

  status(): ConfigurationStatus {
    return {
      sequence: this.#getSequence(),
      source: this.#source,
      ready: this.isReady(),
      storeSilentSinceMs: this.#storeSilentSinceMs,
      readIntervalMs: this.#computeReadIntervalMs(),
    };
  }

  #getSequence(): number {
    return this.#current?.sequence ?? 0;
  }

  /** Applies and pushes a snapshot if its sequence is higher. */
  #applySnapshot(
    snapshot: ConfigurationSnapshot,
    source: SnapshotSource,
    nowMs: number,
  ): ConfigurationAction[] {
    if (snapshot.sequence <= this.#getSequence()) return [];
    this.#current = snapshot;
    this.#source = source;
    this.#appliedAtMs = nowMs;
    this.#pushedAtMs.clear();
    this.#puller.removeOutdated(snapshot.sequence);
    this.#coldStart.settle(snapshot.sequence, nowMs);
    const actions: ConfigurationAction[] = [{ type: "apply", snapshot }];
    const addresses = this.#pickPeers();
    if (addresses.length > 0) {
      actions.push({ type: "push", addresses, snapshot });
    }
    return actions;
  }

  #pull(
    address: string,
    sequence: number,
    nowMs: number,
  ): ConfigurationAction[] {
    if (sequence <= this.#getSequence()) return [];
    return this.#puller.note(address, sequence, nowMs);
  }

  /**
   * Pushes to a peer whose digest is behind. At 10 % message loss, the first wave
   * of pushes misses about 7 % of the entries. Without this push they had to wait
   * for a digest that is ahead, which took up to 3.1 s at 20 entries.
   */
  #repair(
    address: string,
    sequence: number,
    nowMs: number,
  ): ConfigurationAction[] {
    const snapshot = this.#current;
    if (!snapshot || sequence >= snapshot.sequence) return [];
    if (nowMs - this.#appliedAtMs < REPAIR_DELAY_MS) return [];
    const pushedAtMs = this.#pushedAtMs.get(address) ?? -Infinity;
    if (nowMs - pushedAtMs < this.#options.pullTimeoutMs) return [];
    this.#pushedAtMs.set(address, nowMs);
    return [{ type: "push", addresses: [address], snapshot }];
  }

  #recordStoreAnswer(): void {
    this.#storeSilentSinceMs = undefined;
    this.#coldStart.recordStoreAnswer();
  }

  #tick(nowMs: number): ConfigurationAction[] {
    const actions: ConfigurationAction[] = [];
    if (nowMs >= this.#nextReadMs) {
      actions.push({ type: "read_store" });
      this.#nextReadMs = nowMs + this.#pickReadDelayMs();
    }
    this.#coldStart.settle(this.#getSequence(), nowMs);
    // Seeds are asked only in an outage; a slow store may still answer.
    if (this.#storeSilentSinceMs !== undefined) {
      for (const address of this.#coldStart.start(nowMs)) {
        actions.push({ type: "pull", address });
      }
    }
    actions.push(...this.#puller.retry(nowMs));
    return actions;
  }

  /** Computes the interval at which all entries together keep the read rate. */
  #computeReadIntervalMs(): number {
    const { readsPerSecond, minReadIntervalMs } = this.#options;
    const intervalMs = this.#entries / readsPerSecond * 1_000;
    return Math.max(minReadIntervalMs, intervalMs);
  }

  /**
   * Picks a random delay to the next read. The first delay is spread over the
   * whole interval, so that entries that started together desynchronize.
   */
  #pickReadDelayMs(): number {
    const { random } = this.#options;
    this.#readCount += 1;
    const factor = this.#readCount === 1 ? random() : 0.5 + random();
    return this.#computeReadIntervalMs() * factor;
  }

  #pickPeers(): string[] {
    const { pushCount, random } = this.#options;
    const remaining = this.#peers.slice();
    const chosen: string[] = [];
    while (chosen.length < pushCount && remaining.length > 0) {
      const index = Math.floor(random() * remaining.length);
      chosen.push(...remaining.splice(index, 1));
    }
    return chosen;
  }
}
