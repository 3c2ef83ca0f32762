/**
 * Members of the own region, and tombstones of removed ones.
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

/** Maximum number of tombstones; about 54 members change on a usual day. */
const MAX_TOMBSTONES = 2_048;

/** Number of simultaneous suspects at which a mass loss is assumed. */
const LOSS_SUSPECTS = 2;

/**
 * Time in milliseconds for which a mass loss is assumed to last; members that
 * were not probed yet are detected within this time.
 */
const LOSS_MS = 3_000;

interface TrackedMember {
  update: MemberUpdate;
  /** Start of the suspicion; a leaving member may also be under suspicion. */
  suspectSinceMs: number | undefined;
  deadSinceMs: number | undefined;
}

/** A change of a member by a merge or a timeout. */
export interface MemberChange {
  readonly update: MemberUpdate;
  /** False if only the counter or the record changed. */
  readonly stateChanged: boolean;
}

/** Result of a merge. */
export interface MergeResult {
  readonly changes: readonly MemberChange[];
  /** True if the merged update is older than the local record. */
  readonly stale: boolean;
}

const UNCHANGED: MergeResult = { changes: [], stale: false };
const STALE: MergeResult = { changes: [], stale: true };

/** Members of one region as known to one process. */
export class MemberTable {
  #members = new Map<string, TrackedMember>();
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

  /** Changes the own record and raises its counter. */
  updateSelf(change: Partial<MemberUpdate>): void {
    const counter = Math.max(this.#self.counter, change.counter ?? 0) + 1;
    this.#self = { ...this.#self, ...change, counter };
  }

  get(processId: string): MemberUpdate | undefined {
    if (processId === this.#self.processId) return this.#self;
    return this.#members.get(processId)?.update ??
      this.#tombstones.get(processId)?.update;
  }

  /** Lists the other members, including dead ones that are not yet removed. */
  listOthers(): MemberUpdate[] {
    return Array.from(this.#members.values(), (tracked) => tracked.update);
  }

  /** Lists the other members that are not dead. */
  listReachable(): MemberUpdate[] {
    return this.listOthers().filter((update) => update.state !== "dead");
  }

  /**
   * Returns true during a mass loss: many members ended at once, and some that
   * nobody has probed yet still count as alive.
   */
  hasMassLoss(nowMs: number): boolean {
    const suspects = this.listOthers().filter(({ state }) =>
      state === "suspect"
    );
    if (suspects.length >= LOSS_SUSPECTS) this.#lossUntilMs = nowMs + LOSS_MS;
    return nowMs < this.#lossUntilMs;
  }

  /** Lists the addresses of dead and removed members, for rejoin attempts. */
  listDeadAddresses(): string[] {
    const members = this.listOthers().filter((update) =>
      update.state === "dead"
    );
    for (const { update } of this.#tombstones.values()) members.push(update);
    return members.map((update) => update.peerAddress);
  }

  /** Merges the update of another process about a member other than this one. */
  merge(update: MemberUpdate, nowMs: number): MergeResult {
    const tombstone = this.#tombstones.get(update.processId);
    if (tombstone && tombstone.update.counter >= update.counter) {
      return update.state === "dead" ? UNCHANGED : STALE;
    }
    const previous = this.#members.get(update.processId);
    if (previous && !isNewer(update, previous.update)) {
      const same = update.counter === previous.update.counter &&
        update.state === previous.update.state;
      return same ? UNCHANGED : STALE;
    }
    if (tombstone) this.#tombstones.delete(update.processId);
    return { changes: [this.#put(update, nowMs)], stale: false };
  }

  /** Marks earlier processes at the sender's address as dead. */
  markReplaced(sender: MemberUpdate, nowMs: number): MemberChange[] {
    const changes: MemberChange[] = [];
    for (const { update } of this.#members.values()) {
      if (
        update.peerAddress === sender.peerAddress && update.state !== "dead" &&
        update.processId !== sender.processId
      ) {
        changes.push(this.#put({ ...update, state: "dead" }, nowMs));
      }
    }
    return changes;
  }

  /** Records that a probe of a member failed. */
  suspect(processId: string, nowMs: number): MemberChange[] {
    const tracked = this.#members.get(processId);
    if (!tracked || tracked.suspectSinceMs !== undefined) return [];
    if (tracked.update.state === "leaving") {
      tracked.suspectSinceMs = nowMs;
      return [];
    }
    if (tracked.update.state !== "alive") return [];
    return [this.#put({ ...tracked.update, state: "suspect" }, nowMs)];
  }

  /** Records a message of a member; a leaving member that sends still runs. */
  recordMessage(processId: string): void {
    const tracked = this.#members.get(processId);
    if (tracked?.update.state === "leaving") tracked.suspectSinceMs = undefined;
  }

  /** Declares suspects dead, and removes dead members and old tombstones. */
  expire(nowMs: number): MemberChange[] {
    const changes: MemberChange[] = [];
    for (const [processId, tracked] of this.#members) {
      if (
        tracked.suspectSinceMs !== undefined &&
        nowMs - tracked.suspectSinceMs >= this.#timings.suspicionMs
      ) {
        changes.push(this.#put({ ...tracked.update, state: "dead" }, nowMs));
      } else if (
        tracked.deadSinceMs !== undefined &&
        nowMs - tracked.deadSinceMs >= this.#timings.forgetMs
      ) {
        this.#members.delete(processId);
        this.#addTombstone(tracked.update, nowMs);
      }
    }
    for (const [processId, tombstone] of this.#tombstones) {
      if (nowMs - tombstone.atMs < this.#timings.tombstoneMs) break;
      this.#tombstones.delete(processId);
    }
    return changes;
  }

  /** Extends suspicions by the time for which this process was frozen. */
  shift(byMs: number): void {
    for (const tracked of this.#members.values()) {
      if (tracked.suspectSinceMs !== undefined) tracked.suspectSinceMs += byMs;
    }
  }

  #put(update: MemberUpdate, nowMs: number): MemberChange {
    const previous = this.#members.get(update.processId)?.update;
    this.#members.set(update.processId, {
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
