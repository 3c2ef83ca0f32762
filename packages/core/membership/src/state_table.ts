/**
 * Table of soft states; the newest version of each key wins.
 *
 * @module
 */

import type { StateUpdate, StateVersion } from "./messages.ts";
import type { StateView } from "./options.ts";

/** Bounds memory if peers send an unlimited number of keys. */
const MAX_STATES = 4_096;

interface StoredState {
  readonly update: StateUpdate;
  /** Time at which the value was set, computed from its age. */
  readonly setAtMs: number;
}

/** Soft states known to one process. */
export class StateTable {
  #states = new Map<string, StoredState>();
  /** Cached, because keys are listed far more often than added or removed. */
  #sorted: readonly string[] | undefined;
  readonly #freshMs: number;

  constructor(freshMs: number) {
    this.#freshMs = freshMs;
  }

  /**
   * Stores a state if its version is newer than the known one; an equal version
   * does not refresh the age. Returns the replaced state, true if there was
   * none, or false if the state was not stored.
   */
  merge(update: StateUpdate, nowMs: number): StateUpdate | true | false {
    const previous = this.#states.get(update.key)?.update;
    if (previous && compareVersions(update.version, previous.version) <= 0) {
      return false;
    }
    if (update.ageMs >= update.ttlMs) return false;
    if (!previous && this.#states.size >= MAX_STATES) return false;
    if (!previous) this.#sorted = undefined;
    const setAtMs = nowMs - Math.max(0, update.ageMs);
    this.#states.set(update.key, { update, setAtMs });
    return previous ?? true;
  }

  /** Returns a state with its present age; undefined once it has expired. */
  get(key: string, nowMs: number): StateUpdate | undefined {
    const stored = this.#states.get(key);
    if (!stored) return undefined;
    const ageMs = Math.round(nowMs - stored.setAtMs);
    return ageMs < stored.update.ttlMs
      ? { ...stored.update, ageMs }
      : undefined;
  }

  getView(key: string, nowMs: number): StateView | undefined {
    const update = this.get(key, nowMs);
    if (!update) return undefined;
    const { value, version, region, ageMs } = update;
    const fresh = ageMs <= this.#freshMs;
    return { key, value, version, region, ageMs, fresh };
  }

  /** Lists the keys with a prefix in ascending order. */
  listKeys(prefix = ""): readonly string[] {
    this.#sorted ??= Array.from(this.#states.keys()).sort();
    const sorted = this.#sorted;
    const start = findFirst(sorted, prefix);
    let end = start;
    while (end < sorted.length && sorted[end]!.startsWith(prefix)) end += 1;
    return sorted.slice(start, end);
  }

  /** Lists the keys of a region's global states in ascending order. */
  listGlobalKeys(region: string): string[] {
    const keys: string[] = [];
    for (const [key, { update }] of this.#states) {
      if (update.scope === "global" && update.region === region) keys.push(key);
    }
    return keys.sort();
  }

  /** Removes states whose TTL has passed. */
  expire(nowMs: number): void {
    for (const [key, { update, setAtMs }] of this.#states) {
      if (nowMs - setAtMs < update.ttlMs) continue;
      this.#states.delete(key);
      this.#sorted = undefined;
    }
  }
}

/** Returns the index of the first key that is not less than the prefix. */
function findFirst(sorted: readonly string[], prefix: string): number {
  let low = 0;
  let high = sorted.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if (sorted[middle]! < prefix) low = middle + 1;
    else high = middle;
  }
  return low;
}

/** Compares versions by fence, then by sequence. */
export function compareVersions(a: StateVersion, b: StateVersion): number {
  return a[0] - b[0] || a[1] - b[1];
}
