/**
 * Everything that one process knows, and what of it is still to be spread.
 *
 * @module
 */

import { GossipQueue } from "./gossip_queue.ts";
import { MemberTable } from "./member_table.ts";
import type { MemberChange } from "./member_table.ts";
import type {
  MemberRecord,
  MemberUpdate,
  RegionUpdate,
  StateUpdate,
  Update,
} from "./messages.ts";
import type { MembershipAction, MembershipTimings } from "./options.ts";
import { RegionTable } from "./region_table.ts";
import { StateTable } from "./state_table.ts";
import { MAX_UPDATES } from "./timings.ts";

/** Sends of a refresh; the next refresh reaches those that it misses. */
const REFRESH_SENDS = 3;
/** Time for which a leaving or dead member is named to other regions. */
const GONE_MS = 10_000;
const MAX_GONE = 8;

/** A chunk of a walk through all that is known. */
export interface Chunk {
  readonly updates: readonly Update[];
  /** Cursor of the next chunk, empty after the last one. */
  readonly nextAfter: string;
}

/** Tables of one process with the queue of updates to spread. */
export class Knowledge {
  readonly members: MemberTable;
  readonly states: StateTable;
  readonly regions = new RegionTable();
  readonly #queue = new GossipQueue();
  readonly #timings: MembershipTimings;
  #queuedAt = new Map<string, number>();
  #goneAt = new Map<string, number>();

  constructor(self: MemberRecord, timings: MembershipTimings) {
    this.members = new MemberTable(self, timings);
    this.states = new StateTable(timings.freshMs);
    this.#timings = timings;
  }

  /** Merges an update heard from the entry `via` and notes it for spreading. */
  merge(update: Update, nowMs: number): MembershipAction[] {
    if (update.type === "member") return this.#mergeMember(update, nowMs);
    if (update.type === "state") {
      return this.mergeState(
        update,
        nowMs,
        this.#timings.refreshIntervalMs / 2,
      );
    }
    const { refreshIntervalMs } = this.#timings;
    this.mergeRegion(update, nowMs, refreshIntervalMs / 2);
    return [];
  }

  /**
   * Merges a soft-state entry. The process at which it enters the region
   * spaces its refreshes by the whole interval; a process on the way uses half
   * of it, so that waves of refreshes do not wait at every hop.
   */
  mergeState(
    update: StateUpdate,
    nowMs: number,
    spacingMs: number,
  ): MembershipAction[] {
    const before = this.states.merge(update, nowMs);
    if (before === false) return [];
    const ownerChanged = before !== true &&
      before.version[0] !== update.version[0];
    if (update.urgent || ownerChanged) {
      this.#announce(`s:${update.key}`, nowMs);
    } else {
      this.#refresh(`s:${update.key}`, nowMs, spacingMs);
    }
    const { key, value, version } = update;
    return [{ type: "state_changed", key, value, version }];
  }

  /** Merges a list of another region's entries. */
  mergeRegion(update: RegionUpdate, nowMs: number, spacingMs: number): void {
    if (update.region === this.members.self.region) return;
    if (this.regions.merge(update, nowMs)) {
      this.#refresh(`r:${update.region}`, nowMs, spacingMs);
    }
  }

  /** Reports changes of members and queues them. */
  noteChanges(
    changes: readonly MemberChange[],
    nowMs: number,
  ): MembershipAction[] {
    const actions: MembershipAction[] = [];
    for (const { update, stateChanged } of changes) {
      this.#announce(`m:${update.processId}`, nowMs);
      if (update.state === "dead" || update.state === "leaving") {
        if (stateChanged) this.#goneAt.set(update.processId, nowMs);
      } else {
        this.#goneAt.delete(update.processId);
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
    if (self.state === "leaving") this.#goneAt.set(self.processId, nowMs);
    this.#announce(`m:${self.processId}`, nowMs);
  }

  /** Processes that left or died lately, the newest first. */
  gone(): string[] {
    return Array.from(this.#goneAt.keys()).reverse().slice(0, MAX_GONE);
  }

  /** Takes updates for one message, the receiver's own record first. */
  take(receiver: MemberUpdate | undefined, nowMs: number): Update[] {
    const updates: Update[] = [];
    const record = receiver && this.members.get(receiver.processId);
    if (record && (record.state === "suspect" || record.state === "dead")) {
      updates.push(record);
    }
    for (const id of this.#queue.take(MAX_UPDATES - updates.length, nowMs)) {
      const update = this.#get(id, nowMs);
      if (update && update !== record) updates.push(update);
    }
    return updates;
  }

  /** Reads the chunk after a cursor. */
  readChunk(after: string, nowMs: number): Chunk {
    const ids = this.members.others().map((member) => `m:${member.processId}`);
    for (const name of this.regions.names()) ids.push(`r:${name}`);
    for (const key of this.states.keys()) ids.push(`s:${key}`);
    const left = ids.filter((id) => id > after).sort();
    const chosen = left.slice(0, MAX_UPDATES);
    const updates = chosen.map((id) => this.#get(id, nowMs));
    return {
      updates: updates.filter((update) => update !== undefined),
      nextAfter: left.length > chosen.length ? chosen.at(-1)! : "",
    };
  }

  /** Applies periods that have passed. */
  expire(nowMs: number): MembershipAction[] {
    this.states.expire(nowMs);
    this.regions.expire(nowMs);
    for (const [processId, atMs] of this.#goneAt) {
      if (nowMs - atMs > GONE_MS) this.#goneAt.delete(processId);
    }
    for (const [id, atMs] of this.#queuedAt) {
      if (nowMs - atMs > this.#timings.refreshIntervalMs) {
        this.#queuedAt.delete(id);
      }
    }
    return this.noteChanges(this.members.expire(nowMs), nowMs);
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
    if (stale) this.#correct(update, nowMs);
    return this.noteChanges(changes, nowMs);
  }

  /** Answers news of a member known to be dead, as from a frozen process. */
  #correct(update: MemberUpdate, nowMs: number): void {
    const id = `m:${update.processId}`;
    const known = this.members.get(update.processId);
    if (known?.state !== "dead" || this.#queue.hasUnsent(id)) return;
    this.#queue.add(id, { urgent: true, sends: 1, notBeforeMs: nowMs });
  }

  /** Every member must hear it: about twice the rounds that spreading takes. */
  #announce(id: string, nowMs: number): void {
    const members = this.members.others().length + 1;
    const sends = 2 * Math.ceil(Math.log2(members + 1)) + 2;
    this.#queue.add(id, { urgent: true, sends, notBeforeMs: nowMs });
  }

  #refresh(id: string, nowMs: number, spacingMs: number): void {
    if (this.#queue.hasUnsent(id)) return;
    const lastMs = this.#queuedAt.get(id) ?? -Infinity;
    const notBeforeMs = Math.max(nowMs, lastMs + spacingMs);
    this.#queuedAt.set(id, notBeforeMs);
    this.#queue.add(id, { urgent: false, sends: REFRESH_SENDS, notBeforeMs });
  }

  #get(id: string, nowMs: number): Update | undefined {
    const name = id.slice(2);
    if (id.startsWith("m:")) return this.members.get(name);
    if (id.startsWith("r:")) return this.regions.get(name, nowMs);
    return this.states.get(name, nowMs);
  }
}
