/**
 * Look-up answers, cached for as long as they say.
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

/** What a look-up says. */
export type LookupAnswer = z.infer<typeof ANSWER_SCHEMA>;

/** Question of a look-up. */
export interface LookupQuery {
  readonly service: string;
  readonly client?: string;
}

/** Where a request may be sent, the best one first. */
export interface Targets {
  readonly addresses: readonly string[];
  readonly issuedKey?: string;
}

/** Settings of the look-ups. */
export interface LookupOptions {
  /** Entries that are asked, in turn. */
  readonly entries: readonly string[];
  /** Asks one entry; throws if it does not answer. */
  readonly fetchAnswer: (entry: string, query: LookupQuery) => Promise<unknown>;
  /** Throws if test traffic may not go to an address. */
  readonly assertAllowed: (address: string) => void;
  readonly nowMs?: () => number;
}

interface CachedAnswer {
  readonly expiryMs: number;
  readonly addresses: readonly string[];
}

/** Look-ups of one run, as one caching client makes them. */
export class Lookups {
  readonly #options: LookupOptions;
  readonly #nowMs: () => number;
  readonly #cache = new Map<string, CachedAnswer>();
  readonly #pending = new Map<string, Promise<LookupAnswer>>();
  #nextEntry = 0;
  /** Look-ups that no entry answered. */
  failures = 0;

  constructor(options: LookupOptions) {
    this.#options = options;
    this.#nowMs = options.nowMs ?? (() => performance.now());
  }

  /** Finds the targets of a request; throws if no entry answers. */
  async find(
    query: LookupQuery,
    needsKey: boolean,
  ): Promise<Targets> {
    const key = `${query.service} ${query.client ?? ""}`;
    const cached = this.#cache.get(key);
    if (!needsKey && cached !== undefined && this.#nowMs() < cached.expiryMs) {
      return { addresses: cached.addresses };
    }
    // Requests of one group share one look-up, but each needs its own key.
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

  /** Drops a cached answer whose entries all failed. */
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
        // An entry that is leaving issues no keys.
        if (!needsKey || answer.issuedKey !== undefined) return answer;
        this.#nextEntry += 1;
      } catch {
        // The next entry is asked from now on, by later look-ups too.
        this.#nextEntry += 1;
      }
    }
    this.failures += 1;
    throw new Error("No entry answers the look-up");
  }
}
