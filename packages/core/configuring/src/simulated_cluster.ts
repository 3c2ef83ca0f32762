/**
 * Simulated cluster of configuration replicas, for tests.
 *
 * @module
 */

import type { ConfigurationSnapshot } from "@dotterelmoor/core.types";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { createConfigurationReplica } from "./replica.ts";
import type {
  ConfigurationAction,
  ConfigurationEvent,
  ConfigurationReplica,
} from "./options.ts";

/** A simulated entry. */
export interface Entry {
  readonly id: number;
  readonly region: number;
  readonly replica: ConfigurationReplica;
  /** Sequences in the order in which they were applied. */
  readonly applied: number[];
  /** True while the entry can neither send nor receive. */
  cut: boolean;
}

/** Size of a cluster, and its network and store faults. */
export interface ClusterOptions {
  readonly seed: number;
  readonly regions: number;
  readonly entries: number;
  readonly loss: number;
  /** Maximum random delay of a message; long delays reorder snapshots. */
  readonly delayMs?: number;
  readonly storeUp?: boolean;
}

/** Builds an empty configuration with the given sequence. */
export function buildSnapshot(sequence: number): ConfigurationSnapshot {
  const limits = { maxDeadlineMs: 6_000, maxConcurrency: 1, maxShiftCap: 1 };
  const platform = { regions: [], links: [], clientBlocks: [], limits };
  return { sequence, platform, teams: {}, drains: [] };
}

/** Replicas with a lossy network, a store and a virtual clock. */
export class Cluster {
  readonly entries: Entry[] = [];
  readonly random: () => number;
  nowMs = 0;
  stored = buildSnapshot(1);
  storeUp: boolean;
  storeReads = 0;
  isPartitioned: (from: Entry, to: Entry) => boolean = () => false;
  readonly #options: ClusterOptions;
  readonly #queue = new Map<number, (() => void)[]>();

  constructor(options: ClusterOptions) {
    const generator = xoroshiro128plus(options.seed);
    this.random = () => (generator.next() >>> 0) / 2 ** 32;
    this.#options = options;
    this.storeUp = options.storeUp ?? true;
    for (let id = 0; id < options.entries; id += 1) this.add([]);
    for (const entry of this.entries) this.#setPeers(entry);
  }

  add(seeds: readonly string[]): Entry {
    const id = this.entries.length;
    const replica = createConfigurationReplica({ seeds, random: this.random });
    const region = id % this.#options.regions;
    const entry = { id, region, replica, applied: [], cut: false };
    this.entries.push(entry);
    return entry;
  }

  /**
   * Sets the peers of an entry: all of its region and about 4 of each other
   * region, as membership provides them.
   */
  #setPeers(entry: Entry): void {
    const { regions, entries } = this.#options;
    const chosen = this.entries.filter((other) => {
      if (other === entry) return false;
      return other.region === entry.region ||
        this.random() < 4 / (entries / regions);
    });
    const addresses = chosen.map((other) => String(other.id));
    this.apply(entry, { type: "peers", addresses, entries });
  }

  apply(entry: Entry, event: ConfigurationEvent): void {
    for (const action of entry.replica.handle(event, this.nowMs)) {
      this.#runAction(entry, action);
    }
  }

  commit(entry: Entry, sequence: number): void {
    const snapshot = buildSnapshot(sequence);
    this.stored = snapshot;
    this.apply(entry, { type: "snapshot", snapshot, source: "commit" });
  }

  runFor(ms: number, each?: () => boolean): void {
    const endMs = this.nowMs + ms;
    while (this.nowMs < endMs) {
      this.nowMs += 1;
      for (const deliver of this.#queue.get(this.nowMs) ?? []) deliver();
      this.#queue.delete(this.nowMs);
      for (const entry of this.entries) {
        const phase = (this.nowMs + entry.id * 37) % 500;
        if (phase % 100 === 0) this.apply(entry, { type: "tick" });
        if (phase === 0) this.#sendDigest(entry);
      }
      if (each?.()) return;
    }
  }

  /** Returns the milliseconds until all entries have applied the sequence. */
  measureSpread(sequence: number, limitMs: number): number {
    const startMs = this.nowMs;
    let done = false;
    this.runFor(
      limitMs,
      () =>
        done = this.entries.every((entry) =>
          entry.replica.status().sequence >= sequence
        ),
    );
    return done ? this.nowMs - startMs : Infinity;
  }

  #sendDigest(entry: Entry): void {
    const to = this.entries[Math.floor(this.random() * this.entries.length)]!;
    const { sequence } = entry.replica.status();
    const address = String(entry.id);
    this.#send(entry, to, { type: "digest", address, sequence });
  }

  #send(from: Entry, to: Entry, event: ConfigurationEvent): void {
    if (from.cut || to.cut || this.isPartitioned(from, to)) return;
    if (this.random() < this.#options.loss) return;
    const spreadMs = this.#options.delayMs ?? 5;
    const baseMs = from.region === to.region ? 1 : 35;
    const delayMs = baseMs + Math.floor(this.random() * spreadMs);
    this.#schedule(delayMs, () => this.apply(to, event));
  }

  #schedule(delayMs: number, run: () => void): void {
    const due = this.#queue.get(this.nowMs + delayMs) ?? [];
    due.push(run);
    this.#queue.set(this.nowMs + delayMs, due);
  }

  #runAction(entry: Entry, action: ConfigurationAction): void {
    if (action.type === "apply") {
      entry.applied.push(action.snapshot.sequence);
    } else if (action.type === "push") {
      const { snapshot } = action;
      for (const address of action.addresses) {
        const to = this.entries[Number(address)]!;
        this.#send(entry, to, { type: "snapshot", snapshot, source: "peer" });
      }
    } else if (action.type === "pull") {
      this.#answerPull(entry, this.entries[Number(action.address)]!);
    } else {
      this.storeReads += 1;
      const snapshot = this.stored;
      const event: ConfigurationEvent = !this.storeUp
        ? { type: "store_read", result: "unavailable" }
        : snapshot.sequence > entry.replica.status().sequence
        ? { type: "snapshot", snapshot, source: "store" }
        : { type: "store_read", result: "unchanged" };
      this.#schedule(5, () => this.apply(entry, event));
    }
  }

  #answerPull(entry: Entry, peer: Entry): void {
    const address = String(peer.id);
    if (peer.cut) {
      this.#schedule(
        100,
        () => this.apply(entry, { type: "seed_failed", address }),
      );
      return;
    }
    const snapshot = peer.replica.current();
    if (snapshot) {
      this.#send(peer, entry, { type: "snapshot", snapshot, source: "peer" });
    }
    const sequence = peer.replica.isReady() ? snapshot?.sequence ?? 0 : 0;
    this.#send(peer, entry, { type: "seed_answered", address, sequence });
  }
}
