/**
 * Membership data of one process, and the updates that it still has to spread.
 *
 * @module
 */

import { GossipQueue } from "./gossip_queue.ts";
import { MemberTable } from "./member_table.ts";
import type { MemberChange } from "./member_table.ts";
import type {
  BundleUpdate,
  MemberRecord,
  MemberUpdate,
  RegionUpdate,
  StateUpdate,
  Update,
} from "./messages.ts";
import type { MembershipAction, MembershipTimings } from "./options.ts";
import { RegionTable } from "./region_table.ts";
import { StateTable } from "./state_table.ts";
import { MAX_SUMMARY_STATES, MAX_UPDATES } from "./timings.ts";

/** Sends per refresh; members that it does not reach get the next refresh. */
const REFRESH_SENDS = 4;
/** Time for which refreshes are recorded; exceeds every refresh interval. */
const REFRESH_RETENTION_MS = 60_000;
/** Time for which a leaving or dead member is announced to other regions. */
const GONE_ANNOUNCE_MS = 10_000;
const MAX_GONE = 8;

/** One chunk of the stored updates. */
export interface Chunk {
  readonly updates: readonly Update[];
  /** Cursor of the next chunk; empty after the last one. */
  readonly nextAfter: string;
}

/** Tables of members, states and regions, with the queue of updates to spread. */
export class GossipStore {
  readonly members: MemberTable;
  readonly states: StateTable;
  readonly regions: RegionTable;
  readonly #queue = new GossipQueue();
  readonly #timings: MembershipTimings;
  #refreshedAtMs = new Map<string, number>();
  #goneAtMs = new Map<string, number>();

  constructor(self: MemberRecord, timings: MembershipTimings) {
    this.members = new MemberTable(self, timings);
    this.states = new StateTable(timings.freshMs);
    this.regions = new RegionTable(timings.contactFreshMs);
    this.#timings = timings;
  }

  /** Merges an update and queues it if other members may need it. */
  merge(update: Update, nowMs: number): MembershipAction[] {
    if (update.type === "member") return this.#mergeMember(update, nowMs);
    if (update.type === "state") return this.#mergeState(update, nowMs);
    if (update.type === "bundle") return this.#mergeBundle(update, nowMs);
    this.#mergeRegion(update, nowMs);
    return [];
  }

  /** Queues changes of members and returns the actions that report them. */
  recordChanges(
    changes: readonly MemberChange[],
    nowMs: number,
  ): MembershipAction[] {
    const actions: MembershipAction[] = [];
    for (const { update, stateChanged } of changes) {
      this.#queueUrgent(`m:${update.processId}`);
      if (update.state === "dead" || update.state === "leaving") {
        if (stateChanged) this.#goneAtMs.set(update.processId, nowMs);
      } else {
        this.#goneAtMs.delete(update.processId);
      }
      if (!stateChanged) continue;
      const { type: _type, counter: _counter, state, ...member } = update;
      actions.push({ type: "member_changed", member, state });
    }
    return actions;
  }

  /** Changes the own record and queues it. */
  updateSelf(change: Partial<MemberUpdate>, nowMs: number): void {
    this.members.updateSelf(change);
    const { self } = this.members;
    if (self.state === "leaving") this.#goneAtMs.set(self.processId, nowMs);
    this.#queueUrgent(`m:${self.processId}`);
  }

  /** Returns the processes that left or died recently, the latest ones first. */
  gone(): string[] {
    return Array.from(this.#goneAtMs.keys()).reverse().slice(0, MAX_GONE);
  }

  /**
   * Takes the updates for one message. The receiver's own record comes first if
   * it is listed as suspect or dead, so that the receiver can refute that.
   */
  take(receiver: MemberUpdate | undefined, nowMs: number): Update[] {
    const updates: Update[] = [];
    const record = receiver && this.members.get(receiver.processId);
    if (record && (record.state === "suspect" || record.state === "dead")) {
      updates.push(record);
    }
    for (const id of this.#queue.take(MAX_UPDATES - updates.length)) {
      const update = this.#get(id, nowMs);
      if (update && update !== record) updates.push(update);
    }
    return updates;
  }

  /** Reads the chunk that follows a cursor. */
  readChunk(after: string, nowMs: number): Chunk {
    const ids = this.members.listOthers().map((member) =>
      `m:${member.processId}`
    );
    for (const name of this.regions.listNames()) ids.push(`r:${name}`);
    for (const key of this.states.listKeys()) ids.push(`s:${key}`);
    const left = ids.filter((id) => id > after).sort();
    const chosen = left.slice(0, MAX_UPDATES);
    const updates = chosen.map((id) => this.#get(id, nowMs));
    return {
      updates: updates.filter((update) => update !== undefined),
      nextAfter: left.length > chosen.length ? chosen.at(-1)! : "",
    };
  }

  /** Removes expired data and declares members dead. */
  expire(nowMs: number): MembershipAction[] {
    this.states.expire(nowMs);
    this.regions.expire(nowMs);
    for (const [processId, atMs] of this.#goneAtMs) {
      if (nowMs - atMs > GONE_ANNOUNCE_MS) this.#goneAtMs.delete(processId);
    }
    for (const [id, atMs] of this.#refreshedAtMs) {
      if (nowMs - atMs > REFRESH_RETENTION_MS) {
        this.#refreshedAtMs.delete(id);
      }
    }
    return this.recordChanges(this.members.expire(nowMs), nowMs);
  }

  #mergeMember(update: MemberUpdate, nowMs: number): MembershipAction[] {
    const { self } = this.members;
    if (update.processId === self.processId) {
      const same = update.counter === self.counter &&
        update.state === self.state;
      if (update.counter >= self.counter && !same) {
        this.updateSelf({ counter: update.counter }, nowMs);
      }
      return [];
    }
    if (update.region !== self.region) return [];
    const { changes, stale } = this.members.merge(update, nowMs);
    if (stale) this.#queueCorrection(update);
    return this.recordChanges(changes, nowMs);
  }

  #mergeState(update: StateUpdate, nowMs: number): MembershipAction[] {
    const before = this.states.merge(update, nowMs);
    if (before === false) return [];
    const id = `s:${update.key}`;
    const setAtMs = nowMs - update.ageMs;
    const ownerChanged = before !== true &&
      before.version[0] !== update.version[0];
    if (update.urgent || ownerChanged) {
      this.#refreshedAtMs.set(id, setAtMs);
      this.#queueUrgent(id);
    } else if (update.region === this.members.self.region) {
      this.#queueRefresh(id, setAtMs, this.#timings.refreshIntervalMs);
    }
    const { key, value, version } = update;
    return [{ type: "state_changed", key, value, version }];
  }

  #mergeBundle(update: BundleUpdate, nowMs: number): MembershipAction[] {
    const actions: MembershipAction[] = [];
    let setAtMs = -Infinity;
    for (const state of update.states) {
      const merged = this.#mergeState(state, nowMs);
      if (merged.length === 0) continue;
      actions.push(...merged);
      setAtMs = Math.max(setAtMs, nowMs - state.ageMs);
    }
    if (actions.length > 0 && update.region !== this.members.self.region) {
      const { remoteRefreshIntervalMs } = this.#timings;
      this.#queueRefresh(
        `b:${update.region}`,
        setAtMs,
        remoteRefreshIntervalMs,
      );
    }
    return actions;
  }

  /** Returns the most recently set global states of a region. */
  #getBundle(region: string, nowMs: number): BundleUpdate {
    const states = this.states.listGlobalKeys(region)
      .map((key) => this.states.get(key, nowMs))
      .filter((state) => state !== undefined)
      .sort((a, b) => a.ageMs - b.ageMs)
      .slice(0, MAX_SUMMARY_STATES);
    return { type: "bundle", region, states };
  }

  #mergeRegion(update: RegionUpdate, nowMs: number): void {
    if (update.region === this.members.self.region) return;
    const result = this.regions.merge(update, nowMs);
    if (result === "old") return;
    // A departure is sent without delay; otherwise callers would be sent to an
    // entry that has left.
    const listIntervalMs = result === "departure"
      ? 0
      : this.#timings.listIntervalMs;
    this.#queueRefresh(
      `r:${update.region}`,
      nowMs - update.ageMs,
      listIntervalMs,
    );
  }

  /**
   * Queues a correction of an outdated report, as of a process that was frozen,
   * about a member known to be dead.
   */
  #queueCorrection(update: MemberUpdate): void {
    const id = `m:${update.processId}`;
    const known = this.members.get(update.processId);
    if (known?.state !== "dead" || this.#queue.hasUnsent(id)) return;
    this.#queue.add(id, { urgent: true, sends: 1 });
  }

  /**
   * Queues an update that every member must receive. It is sent about twice as
   * often as spreading takes rounds.
   */
  #queueUrgent(id: string): void {
    const members = this.members.listOthers().length + 1;
    const sends = 2 * Math.ceil(Math.log2(members + 1)) + 2;
    this.#queue.add(id, { urgent: true, sends });
  }

  /**
   * Queues a refresh if it was set at least `spacingMs` after the last queued
   * one. As the time at the origin counts, all processes relay the same
   * refreshes and drop those in between, and none has to delay a refresh.
   */
  #queueRefresh(id: string, setAtMs: number, spacingMs: number): void {
    const lastMs = this.#refreshedAtMs.get(id) ?? -Infinity;
    // Ages do not include the transit time; the tolerance of 10 % covers it.
    if (setAtMs - lastMs < spacingMs * 0.9) return;
    this.#refreshedAtMs.set(id, setAtMs);
    this.#queue.add(id, { urgent: false, sends: REFRESH_SENDS });
  }

  #get(id: string, nowMs: number): Update | undefined {
    const name = id.slice(2);
    if (id.startsWith("m:")) return this.members.get(name);
    if (id.startsWith("b:")) return this.#getBundle(name, nowMs);
    if (id.startsWith("r:")) return this.regions.get(name, nowMs);
    return this.states.get(name, nowMs);
  }
}
