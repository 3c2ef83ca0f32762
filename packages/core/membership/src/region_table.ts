/**
 * Entries of other regions, learned from region summaries and messages.
 *
 * @module
 */

import type { MemberRecord, MemberUpdate, RegionUpdate } from "./messages.ts";
import { RegionSigns } from "./region_signs.ts";

/** Contacts kept for each other region, also while it is unreachable. */
const MAX_CONTACTS = 16;
/** Time for which the last sequence of an origin is kept. */
const ORIGIN_RETENTION_MS = 60_000;
/** Age above which region updates are ignored, because they are of no use. */
const MAX_AGE_MS = 15_000;
/** Time for which an entry that left or died is not accepted from lists. */
const GONE_RETENTION_MS = 60_000;

interface Contact {
  readonly record: MemberRecord;
  readonly seenAtMs: number;
}

interface Region {
  readonly contacts: Map<string, Contact>;
  readonly origins: Map<string, { sequence: number; atMs: number }>;
  readonly gone: Map<string, number>;
  latest: RegionUpdate | undefined;
  latestAtMs: number;
}

/** Other regions as known to one process. */
export class RegionTable {
  readonly signs: RegionSigns;
  #regions = new Map<string, Region>();

  constructor(freshMs: number) {
    this.signs = new RegionSigns(freshMs);
  }

  /** Lists the names of all other regions ever seen. */
  listNames(): string[] {
    return Array.from(this.#regions.keys()).sort();
  }

  /**
   * Merges a list of entries. Returns `old` if it is too old or its origin has
   * sent the same or a newer one, `departure` if it is the first to name some
   * entry as gone, and `new` otherwise.
   */
  merge(update: RegionUpdate, nowMs: number): "old" | "new" | "departure" {
    if (update.ageMs > MAX_AGE_MS) return "old";
    const region = this.#getOrCreate(update.region);
    const origin = region.origins.get(update.origin);
    if (origin && origin.sequence >= update.sequence) return "old";
    const { sequence } = update;
    region.origins.set(update.origin, { sequence, atMs: nowMs });
    const seenAtMs = nowMs - Math.max(0, update.ageMs);
    if (update.size > 0) this.signs.note(update.region, seenAtMs);
    else this.signs.noteEmpty(update.region, seenAtMs);
    const departed = update.gone.some((processId) =>
      !region.gone.has(processId)
    );
    for (const processId of update.gone) {
      region.gone.set(processId, nowMs);
      region.contacts.delete(processId);
    }
    for (const record of update.entries) {
      if (!region.gone.has(record.processId)) {
        this.#addContact(region, record, seenAtMs);
      }
    }
    if (seenAtMs >= region.latestAtMs) {
      region.latest = update;
      region.latestAtMs = seenAtMs;
    }
    return departed ? "departure" : "new";
  }

  /** Records that an entry of another region sent a message, or is leaving. */
  recordSender(sender: MemberUpdate, nowMs: number): void {
    const { type: _type, counter: _counter, state, ...record } = sender;
    const region = this.#getOrCreate(record.region);
    if (state === "leaving") {
      region.gone.set(record.processId, nowMs);
      region.contacts.delete(record.processId);
      return;
    }
    this.signs.note(record.region, nowMs);
    region.gone.delete(record.processId);
    for (const [processId, contact] of region.contacts) {
      if (contact.record.peerAddress === record.peerAddress) {
        region.contacts.delete(processId);
      }
    }
    this.#addContact(region, record, nowMs);
  }

  /** Returns the newest list of a region with its present age. */
  get(name: string, nowMs: number): RegionUpdate | undefined {
    const region = this.#regions.get(name);
    if (!region?.latest) return undefined;
    const ageMs = Math.round(nowMs - region.latestAtMs);
    return ageMs > MAX_AGE_MS ? undefined : { ...region.latest, ageMs };
  }

  /** Counts the live entries of all other regions by their newest lists. */
  countEntries(): number {
    let count = 0;
    for (const { latest } of this.#regions.values()) count += latest?.size ?? 0;
    return count;
  }

  /** Lists the entries of a region that were seen since a time. */
  listContacts(name: string, sinceMs = -Infinity): MemberRecord[] {
    const contacts = this.#regions.get(name)?.contacts.values() ?? [];
    return Array.from(contacts)
      .filter((contact) => contact.seenAtMs >= sinceMs)
      .map((contact) => contact.record);
  }

  /** Lists the most recently seen entries of a region, since a time. */
  listLatestContacts(
    name: string,
    count: number,
    sinceMs: number,
  ): MemberRecord[] {
    const contacts = this.#regions.get(name)?.contacts.values() ?? [];
    return Array.from(contacts)
      .filter((contact) => contact.seenAtMs >= sinceMs)
      .sort((a, b) => b.seenAtMs - a.seenAtMs)
      .slice(0, count)
      .map((contact) => contact.record);
  }

  /** Removes expired signs, origins and departures; contacts are kept. */
  expire(nowMs: number): void {
    this.signs.expire(nowMs);
    for (const region of this.#regions.values()) {
      for (const [origin, { atMs }] of region.origins) {
        if (nowMs - atMs > ORIGIN_RETENTION_MS) region.origins.delete(origin);
      }
      for (const [processId, atMs] of region.gone) {
        if (nowMs - atMs > GONE_RETENTION_MS) region.gone.delete(processId);
      }
    }
  }

  #getOrCreate(name: string): Region {
    let region = this.#regions.get(name);
    if (!region) {
      region = {
        contacts: new Map(),
        origins: new Map(),
        gone: new Map(),
        latest: undefined,
        latestAtMs: -Infinity,
      };
      this.#regions.set(name, region);
    }
    return region;
  }

  #addContact(
    region: Region,
    record: MemberRecord,
    seenAtMs: number,
  ): void {
    const previous = region.contacts.get(record.processId);
    if (previous && previous.seenAtMs >= seenAtMs) return;
    region.contacts.delete(record.processId);
    region.contacts.set(record.processId, { record, seenAtMs });
    if (region.contacts.size <= MAX_CONTACTS) return;
    let oldest: [string, Contact] | undefined;
    for (const pair of region.contacts) {
      if (!oldest || pair[1].seenAtMs < oldest[1].seenAtMs) oldest = pair;
    }
    if (oldest) region.contacts.delete(oldest[0]);
  }
}
