/**
 * Soft-state entries; the newest version of each key wins.
 *
 * @module
 */

import type { StateUpdate, StateVersion } from "./messages.ts";
import type { StateView } from "./options.ts";

/** Bounds memory if peers send keys without end. */
const MAX_STATES = 4_096;

interface Entry {
  readonly update: StateUpdate;
  /** Time at which the value was set, as far as ages tell. */
  readonly setAtMs: number;
}

/** Soft state of one process. */
export class StateTable {
  #entries = new Map<string, Entry>();
  readonly #freshMs: number;

  constructor(freshMs: number) {
    this.#freshMs = freshMs;
  }

  /**
   * Takes an entry if its version is newer; an equal version never makes the
   * known entry younger. Returns what it replaced, or false if it is not new.
   */
  merge(update: StateUpdate, nowMs: number): StateUpdate | true | false {
    const known = this.#entries.get(update.key)?.update;
    if (known && compareVersions(update.version, known.version) <= 0) {
      return false;
    }
    if (update.ageMs >= update.ttlMs) return false;
    if (!known && this.#entries.size >= MAX_STATES) return false;
    const setAtMs = nowMs - Math.max(0, update.ageMs);
    this.#entries.set(update.key, { update, setAtMs });
    return known ?? true;
  }

  /** The entry as it goes into a message now. */
  get(key: string, nowMs: number): StateUpdate | undefined {
    const entry = this.#entries.get(key);
    if (!entry) return undefined;
    const ageMs = Math.round(nowMs - entry.setAtMs);
    return ageMs < entry.update.ttlMs ? { ...entry.update, ageMs } : undefined;
  }

  view(key: string, nowMs: number): StateView | undefined {
    const update = this.get(key, nowMs);
    if (!update) return undefined;
    const { value, version, region, ageMs } = update;
    const fresh = ageMs <= this.#freshMs;
    return { key, value, version, region, ageMs, fresh };
  }

  /** Keys in order. */
  keys(prefix = ""): string[] {
    const keys: string[] = [];
    for (const key of this.#entries.keys()) {
      if (key.startsWith(prefix)) keys.push(key);
    }
    return keys.sort();
  }

  /** Keys of a region's entries with global scope, in order. */
  globalKeys(region: string): string[] {
    const keys: string[] = [];
    for (const [key, { update }] of this.#entries) {
      if (update.scope === "global" && update.region === region) keys.push(key);
    }
    return keys.sort();
  }

  /** Removes entries whose time to live has passed. */
  expire(nowMs: number): void {
    for (const [key, { update, setAtMs }] of this.#entries) {
      if (nowMs - setAtMs >= update.ttlMs) this.#entries.delete(key);
    }
  }
}

/** Orders versions by fence, then by sequence. */
export function compareVersions(a: StateVersion, b: StateVersion): number {
  return a[0] - b[0] || a[1] - b[1];
}
