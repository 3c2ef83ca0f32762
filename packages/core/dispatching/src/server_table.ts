/**
 * Backend servers of a group: their eligibility and their slots.
 *
 * @module
 */

import type { Random } from "@dotterelmoor/core.types";
import { SlotRamp } from "./slot_ramp.ts";
import type { SlotLedger } from "./slot_ledger.ts";
import type {
  DispatchRequest,
  ListedServer,
  ServerSource,
  ServerState,
  ServerView,
} from "./types.ts";

/** Maximum number of remembered leaving instances; ids are never reused. */
const MAX_LEAVING = 10_000;

/** Maximum number of remembered unlisted servers, as the list may flap. */
const MAX_UNLISTED = 1_000;

/** Consecutive timeouts after which a server is ejected. */
const TIMEOUTS_TO_EJECT = 2;

interface ServerRecord {
  id: string;
  address: string;
  slots: number;
  health: ServerState | undefined;
  /** True if a connection was refused and health has not answered since. */
  refused: boolean;
  ejected: boolean;
  timeouts: number;
  pausedUntilMs: number;
  ramp: SlotRamp | undefined;
}

/** Options of a server table. */
export interface ServerTableOptions {
  readonly ledger: SlotLedger;
  readonly random: Random;
  readonly answersPerSlot: number;
}

/** Merges the reports of all sources about the servers of one group. */
export class ServerTable {
  readonly #options: ServerTableOptions;
  #records: ReadonlyMap<string, ServerRecord> = new Map();
  readonly #unlisted = new Map<string, ServerRecord>();
  readonly #leaving = new Set<string>();
  #drained: ReadonlySet<string> = new Set();
  readonly #reports: Readonly<
    Record<ServerSource, (id: string, state: ServerState) => void>
  > = {
    list: (id, state) => this.#applyLeaving(id, state),
    refusal: (id, state) => this.#applyLeaving(id, state),
    operator: (id, state) => this.#applyOperator(id, state),
    health: (id, state) => this.#applyHealth(id, state),
  };

  constructor(options: ServerTableOptions) {
    this.#options = options;
  }

  /** Replaces the listed servers, keeping what is known about each. */
  setServers(servers: readonly ListedServer[]): void {
    const records = new Map<string, ServerRecord>();
    for (const server of servers) {
      const record = this.#findRecord(server.id) ?? this.#makeRecord(server);
      record.address = server.address;
      record.slots = server.slots;
      records.set(server.id, record);
      this.#unlisted.delete(server.id);
      if (server.state === "leaving") this.#markLeaving(server.id);
    }
    for (const record of this.#records.values()) {
      if (!records.has(record.id)) this.#unlisted.set(record.id, record);
    }
    removeOldest(this.#unlisted, MAX_UNLISTED);
    this.#records = records;
  }

  setOperatorDrains(instances: readonly string[]): void {
    this.#drained = new Set(instances);
  }

  applyReport(id: string, source: ServerSource, state: ServerState): void {
    this.#reports[source](id, state);
  }

  recordAnswer(id: string): void {
    const record = this.#findRecord(id);
    if (record === undefined) return;
    record.timeouts = 0;
    record.ramp?.recordAnswer();
    if (record.ramp !== undefined && record.ramp.allowance >= record.slots) {
      record.ramp = undefined;
    }
  }

  recordTimeout(id: string): void {
    const record = this.#findRecord(id);
    if (record === undefined) return;
    record.timeouts += 1;
    if (record.timeouts >= TIMEOUTS_TO_EJECT) record.ejected = true;
  }

  recordConnectionRefused(id: string): void {
    const record = this.#findRecord(id);
    if (record !== undefined) record.refused = true;
  }

  /** Pauses a server that refused a request without draining. */
  recordRefusal(id: string, pausedUntilMs: number): void {
    const record = this.#findRecord(id);
    if (record === undefined) return;
    record.timeouts = 0;
    record.pausedUntilMs = pausedUntilMs;
  }

  isEligible(id: string): boolean {
    const record = this.#records.get(id);
    return record !== undefined && this.#isEligible(record);
  }

  /** Lists the ids of the servers that may get requests once a slot is free. */
  listEligible(): string[] {
    return this.#listEligibleRecords().map(({ id }) => id);
  }

  /** Computes the number of slots that all eligible servers offer. */
  computeAllowance(): number {
    return this.#listEligibleRecords().reduce(
      (sum, record) => sum + getAllowance(record),
      0,
    );
  }

  /**
   * Chooses the server with the most free slots, at random among equals. An
   * exclusive request needs a server with no used slot.
   */
  choose(
    request: DispatchRequest,
    options: { nowMs: number; reserved?: string },
  ): { id: string; address: string } | undefined {
    const { ledger } = this.#options;
    const free = (record: ServerRecord) => {
      const used = ledger.getUsed(record.id);
      if (request.exclusive && used > 0) return 0;
      if (ledger.isExclusive(record.id)) return 0;
      if (record.id === options.reserved) return 0;
      if (record.pausedUntilMs > options.nowMs) return 0;
      return getAllowance(record) - used;
    };
    const best = this.#pickHighest(request, free);
    return best !== undefined && free(best) > 0 ? best : undefined;
  }

  /** Chooses the server to reserve for an exclusive request: the least used. */
  chooseReserved(request: DispatchRequest): string | undefined {
    const { ledger } = this.#options;
    const idle = (record: ServerRecord) => -ledger.getUsed(record.id);
    return this.#pickHighest(request, idle)?.id;
  }

  /** Returns when the next pause of an eligible server ends, or `Infinity`. */
  findNextPauseEndMs(nowMs: number): number {
    const ends = this.#listEligibleRecords().map((record) =>
      record.pausedUntilMs
    );
    return Math.min(...ends.filter((endMs) => endMs > nowMs), Infinity);
  }

  list(nowMs: number): ServerView[] {
    const busy = [...this.#unlisted.values()].filter(({ id }) =>
      this.#options.ledger.getUsed(id) > 0
    );
    return [...this.#records.values(), ...busy].map((record) => {
      const eligible = this.#isEligible(record) &&
        record.pausedUntilMs <= nowMs;
      return {
        id: record.id,
        address: record.address,
        slots: record.slots,
        inFlight: this.#options.ledger.getUsed(record.id),
        allowance: eligible ? getAllowance(record) : 0,
        state: this.#describeState(record),
      };
    });
  }

  #findRecord(id: string): ServerRecord | undefined {
    return this.#records.get(id) ?? this.#unlisted.get(id);
  }

  #makeRecord(server: ListedServer): ServerRecord {
    return {
      id: server.id,
      address: server.address,
      slots: server.slots,
      health: undefined,
      refused: false,
      ejected: false,
      timeouts: 0,
      pausedUntilMs: -Infinity,
      // Without a report, the server may be cold or not listening yet.
      ramp: this.#makeRamp(true),
    };
  }

  #makeRamp(endsWhenOk: boolean): SlotRamp {
    return new SlotRamp(this.#options.answersPerSlot, endsWhenOk);
  }

  #applyLeaving(id: string, state: ServerState): void {
    if (state === "draining") this.#markLeaving(id);
  }

  #applyOperator(id: string, state: ServerState): void {
    const drained = new Set(this.#drained);
    if (state === "draining") drained.add(id);
    else drained.delete(id);
    this.#drained = drained;
  }

  #applyHealth(id: string, state: ServerState): void {
    if (state === "draining") this.#markLeaving(id);
    const record = this.#records.get(id);
    if (record === undefined) return;
    const before = record.health;
    record.health = state;
    if (state === "unreachable" || state === "draining") return;
    if (record.ejected || record.refused || before === "unreachable") {
      // The server was unreachable or stuck, so only answered requests end the
      // ramp, not its own `ok` report.
      record.ramp = this.#makeRamp(false);
    } else if (state === "cold" && before !== "cold") {
      record.ramp = this.#makeRamp(true);
    } else if (state === "ok" && record.ramp?.endsWhenOk === true) {
      record.ramp = undefined;
    }
    // Health may answer while requests are stuck, so without an ejection it
    // does not reset the count of timeouts.
    if (record.ejected) record.timeouts = 0;
    record.refused = false;
    record.ejected = false;
  }

  /** Marks an instance as leaving for good, whatever later reports say. */
  #markLeaving(id: string): void {
    this.#leaving.add(id);
    removeOldest(this.#leaving, MAX_LEAVING);
  }

  #isEligible(record: ServerRecord): boolean {
    const state = this.#describeState(record);
    return state === "ok" || state === "cold";
  }

  #describeState(record: ServerRecord): ServerView["state"] {
    if (!this.#records.has(record.id)) return "unlisted";
    if (this.#leaving.has(record.id)) return "leaving";
    if (this.#drained.has(record.id)) return "draining";
    if (record.refused || record.health === "unreachable") return "unreachable";
    if (record.ejected) return "ejected";
    return record.ramp === undefined ? "ok" : "cold";
  }

  #listEligibleRecords(): ServerRecord[] {
    return [...this.#records.values()].filter((record) =>
      this.#isEligible(record)
    );
  }

  #pickHighest(
    request: DispatchRequest,
    score: (record: ServerRecord) => number,
  ): ServerRecord | undefined {
    let best: ServerRecord[] = [];
    let highest = -Infinity;
    for (const record of this.#listEligibleRecords()) {
      if (request.avoid.includes(record.id)) continue;
      const value = score(record);
      if (value > highest) best = [];
      if (value >= highest) best.push(record);
      highest = Math.max(highest, value);
    }
    return best[Math.floor(this.#options.random() * best.length)];
  }
}

function getAllowance(record: ServerRecord): number {
  return Math.min(record.slots, record.ramp?.allowance ?? record.slots);
}

function removeOldest(
  collection: Set<string> | Map<string, unknown>,
  max: number,
): void {
  for (const key of collection.keys()) {
    if (collection.size <= max) return;
    collection.delete(key);
  }
}
