/**
 * Sends lookups to entries and caches the responses for their time to live.
 *
 * @module
 */

import { performance } from "node:perf_hooks";
import { z } from "zod";

const ANSWER_SCHEMA = z.looseObject({
  entries: z.array(z.looseObject({
    address: z.string(),
    role: z.enum(["preferred", "spare"]).default("preferred"),
  })),
  ttlMs: z.number().min(0),
  issuedKey: z.string().optional(),
});

/** Response to a lookup. */
export type LookupAnswer = z.infer<typeof ANSWER_SCHEMA>;

/** Parameters of a lookup. */
export interface LookupQuery {
  readonly service: string;
  readonly client?: string;
}

/** Entries that a request may be sent to. */
export interface Targets {
  /** Addresses, with preferred entries before spare ones. */
  readonly addresses: readonly string[];
  /** Idempotency key that was issued with the lookup. */
  readonly issuedKey?: string;
}

/** Options of `Lookups`. */
export interface LookupOptions {
  /** Entries that lookups are sent to; the next is used after a failure. */
  readonly entries: readonly string[];
  /** Sends a lookup to one entry; throws if it fails. */
  readonly fetchAnswer: (entry: string, query: LookupQuery) => Promise<unknown>;
  /** Throws if test traffic must not be sent to an address. */
  readonly assertAllowed: (address: string) => void;
  /** Monotonic clock; `performance.now` by default. */
  readonly nowMs?: () => number;
}

interface CachedAnswer {
  readonly expiryMs: number;
  readonly addresses: readonly string[];
}

/** Sends the lookups of one run, like a single caller with a cache. */
export class Lookups {
  readonly #options: LookupOptions;
  readonly #nowMs: () => number;
  readonly #cache = new Map<string, CachedAnswer>();
  readonly #pending = new Map<string, Promise<LookupAnswer>>();
  #nextEntry = 0;
  /** Number of lookups that failed at every entry. */
  failures = 0;

  constructor(options: LookupOptions) {
    this.#options = options;
    this.#nowMs = options.nowMs ?? (() => performance.now());
  }

  /**
   * Finds the targets of a request; throws if every entry fails the lookup, or if
   * a target is not allowed.
   */
  async find(
    query: LookupQuery,
    needsKey: boolean,
  ): Promise<Targets> {
    const key = `${query.service} ${query.client ?? ""}`;
    const cached = this.#cache.get(key);
    if (!needsKey && cached !== undefined && this.#nowMs() < cached.expiryMs) {
      return { addresses: cached.addresses };
    }
    // Concurrent equal queries share one lookup, unless each needs its own key.
    const answer =
      await (needsKey
        ? this.#requestAny(query, needsKey)
        : this.#requestShared(key, query));
    const addresses = answer.entries
      .toSorted((a, b) =>
        Number(a.role === "spare") - Number(b.role === "spare")
      )
      .map(({ address }) => address);
    addresses.forEach((address) => this.#options.assertAllowed(address));
    this.#cache.set(key, { expiryMs: this.#nowMs() + answer.ttlMs, addresses });
    return { addresses, issuedKey: answer.issuedKey };
  }

  /** Removes the cached response to a query after one of its entries failed. */
  remove(query: LookupQuery): void {
    this.#cache.delete(`${query.service} ${query.client ?? ""}`);
  }

  #requestShared(key: string, query: LookupQuery): Promise<LookupAnswer> {
    const pending = this.#pending.get(key);
    if (pending !== undefined) return pending;
    const request = this.#requestAny(query, false).finally(() =>
      this.#pending.delete(key)
    );
    this.#pending.set(key, request);
    return request;
  }

  async #requestAny(
    query: LookupQuery,
    needsKey: boolean,
  ): Promise<LookupAnswer> {
    const { entries, fetchAnswer } = this.#options;
    for (let tried = 0; tried < entries.length; tried++) {
      const entry = entries[this.#nextEntry % entries.length]!;
      try {
        const answer = ANSWER_SCHEMA.parse(await fetchAnswer(entry, query));
        // An entry that is shutting down issues no keys.
        if (!needsKey || answer.issuedKey !== undefined) return answer;
        this.#nextEntry += 1;
      } catch {
        // Later lookups start with the next entry too.
        this.#nextEntry += 1;
      }
    }
    this.failures += 1;
    throw new Error("Lookup failed at every entry");
  }
}
