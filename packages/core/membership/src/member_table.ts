/**
 * Members of the own region and the counters of forgotten ones.
 *
 * @module
 */

import type { MemberRecord, MemberState, MemberUpdate } from "./messages.ts";
import type { MembershipTimings } from "./options.ts";

const RANKS: Readonly<Record<MemberState, number>> = {
  alive: 0,
  suspect: 1,
  leaving: 2,
  dead: 3,
};

/** Bounds the memory of counters; about 54 members change on a usual day. */
const MAX_TOMBSTONES = 2_048;

/** Suspects at the same time that are taken as the loss of many members. */
const LOSS_SUSPECTS = 2;

/** Time in milliseconds for which such a loss goes on: members that nobody has
 * probed yet are found within it. */
const LOSS_MS = 3_000;

interface Entry {
  update: MemberUpdate;
  /** Since when probes fail; also set for a leaving member. */
  suspectSinceMs: number | undefined;
  deadSinceMs: number | undefined;
}

/** A change that a merge or the passing of time made. */
export interface MemberChange {
  readonly update: MemberUpdate;
  /** False when only the counter or the record changed. */
  readonly stateChanged: boolean;
}

/** Result of a merge. */
export interface MergeResult {
  readonly changes: readonly MemberChange[];
  /** True when the sender lags behind what is known here. */
  readonly stale: boolean;
}

const UNCHANGED: MergeResult = { changes: [], stale: false };
const STALE: MergeResult = { changes: [], stale: true };

/** Members of one region as one process sees them. */
export class MemberTable {
  #entries = new Map<string, Entry>();
  #tombstones = new Map<string, { update: MemberUpdate; atMs: number }>();
  #self: MemberUpdate;
  #lossUntilMs = -Infinity;
  readonly #timings: MembershipTimings;

  constructor(self: MemberRecord, timings: MembershipTimings) {
    this.#self = { type: "member", ...self, counter: 1, state: "alive" };
    this.#timings = timings;
  }

  get self(): MemberUpdate {
    return this.#self;
  }

  /** Changes the own record under a higher counter. */
  updateSelf(change: Partial<MemberUpdate>): void {
    const counter = Math.max(this.#self.counter, change.counter ?? 0) + 1;
    this.#self = { ...this.#self, ...change, counter };
  }

  get(processId: string): MemberUpdate | undefined {
    if (processId === this.#self.processId) return this.#self;
    return this.#entries.get(processId)?.update ??
      this.#tombstones.get(processId)?.update;
  }

  /** Members other than this process, the dead not yet forgotten included. */
  listOthers(): MemberUpdate[] {
    return Array.from(this.#entries.values(), (entry) => entry.update);
  }

  /** Members other than this process that are worth a message. */
  listReachable(): MemberUpdate[] {
    return this.listOthers().filter((update) => update.state !== "dead");
  }

  /** True while many members are being lost: some of those that count as alive
   * are gone, and nobody has probed them yet. */
  hasMassLoss(nowMs: number): boolean {
    const suspects = this.listOthers().filter(({ state }) =>
      state === "suspect"
    );
    if (suspects.length >= LOSS_SUSPECTS) this.#lossUntilMs = nowMs + LOSS_MS;
    return nowMs < this.#lossUntilMs;
  }

  /** Addresses of dead and forgotten members, for attempts to meet again. */
  listDeadAddresses(): string[] {
    const members = this.listOthers().filter((update) =>
      update.state === "dead"
    );
    for (const { update } of this.#tombstones.values()) members.push(update);
    return members.map((update) => update.peerAddress);
  }

  /** Merges what another process says of a member other than this one. */
  merge(update: MemberUpdate, nowMs: number): MergeResult {
    const tombstone = this.#tombstones.get(update.processId);
    if (tombstone && tombstone.update.counter >= update.counter) {
      return update.state === "dead" ? UNCHANGED : STALE;
    }
    const previous = this.#entries.get(update.processId);
    if (previous && !isNewer(update, previous.update)) {
      const same = update.counter === previous.update.counter &&
        update.state === previous.update.state;
      return same ? UNCHANGED : STALE;
    }
    if (tombstone) this.#tombstones.delete(update.processId);
    return { changes: [this.#put(update, nowMs)], stale: false };
  }

  /** A process that answers on an address has replaced earlier ones there. */
  markReplaced(sender: MemberUpdate, nowMs: number): MemberChange[] {
    const changes: MemberChange[] = [];
    for (const { update } of this.#entries.values()) {
      if (
        update.peerAddress === sender.peerAddress && update.state !== "dead" &&
        update.processId !== sender.processId
      ) {
        changes.push(this.#put({ ...update, state: "dead" }, nowMs));
      }
    }
    return changes;
  }

  /** Records that probes of a member failed. */
  suspect(processId: string, nowMs: number): MemberChange[] {
    const entry = this.#entries.get(processId);
    if (!entry || entry.suspectSinceMs !== undefined) return [];
    if (entry.update.state === "leaving") {
      entry.suspectSinceMs = nowMs;
      return [];
    }
    if (entry.update.state !== "alive") return [];
    return [this.#put({ ...entry.update, state: "suspect" }, nowMs)];
  }

  /** A leaving member that is heard from is not gone yet. */
  recordMessage(processId: string): void {
    const entry = this.#entries.get(processId);
    if (entry?.update.state === "leaving") entry.suspectSinceMs = undefined;
  }

  /** Applies the suspicion, forgetting and tombstone periods. */
  expire(nowMs: number): MemberChange[] {
    const changes: MemberChange[] = [];
    for (const [processId, entry] of this.#entries) {
      if (
        entry.suspectSinceMs !== undefined &&
        nowMs - entry.suspectSinceMs >= this.#timings.suspicionMs
      ) {
        changes.push(this.#put({ ...entry.update, state: "dead" }, nowMs));
      } else if (
        entry.deadSinceMs !== undefined &&
        nowMs - entry.deadSinceMs >= this.#timings.forgetMs
      ) {
        this.#entries.delete(processId);
        this.#addTombstone(entry.update, nowMs);
      }
    }
    for (const [processId, tombstone] of this.#tombstones) {
      if (nowMs - tombstone.atMs < this.#timings.tombstoneMs) break;
      this.#tombstones.delete(processId);
    }
    return changes;
  }

  /** Moves suspicions forward by the time for which this process was frozen. */
  shift(byMs: number): void {
    for (const entry of this.#entries.values()) {
      if (entry.suspectSinceMs !== undefined) entry.suspectSinceMs += byMs;
    }
  }

  #put(update: MemberUpdate, nowMs: number): MemberChange {
    const previous = this.#entries.get(update.processId)?.update;
    this.#entries.set(update.processId, {
      update,
      suspectSinceMs: update.state === "suspect" ? nowMs : undefined,
      deadSinceMs: update.state === "dead" ? nowMs : undefined,
    });
    return { update, stateChanged: previous?.state !== update.state };
  }

  #addTombstone(update: MemberUpdate, nowMs: number): void {
    this.#tombstones.set(update.processId, { update, atMs: nowMs });
    if (this.#tombstones.size <= MAX_TOMBSTONES) return;
    const [oldest] = this.#tombstones.keys();
    if (oldest !== undefined) this.#tombstones.delete(oldest);
  }
}

function isNewer(update: MemberUpdate, known: MemberUpdate): boolean {
  if (update.counter !== known.counter) return update.counter > known.counter;
  return RANKS[update.state] > RANKS[known.state];
}
