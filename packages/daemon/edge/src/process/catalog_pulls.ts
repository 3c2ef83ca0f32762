/**
 * Asks entries for their catalogs, and another one when an answer is late.
 *
 * Pattern: an entry that is busy, or behind a slow path, gets all answers late,
 * whomever it asks. If late answers were dropped, it would ask for the same
 * again, and learn nothing for as long as that lasts.
 *
 * @module
 */

import { startTimeout } from "@dotterelmoor/network.timing";
import type { Logger } from "pino";

/** Time in milliseconds for an entry's answer after which another one is asked
 * as well. */
export const ANSWER_DUE_MS = 400;

/** An entry to take the catalog from: by its process id, by the address at
 * which it was heard, or any live one. */
export type CatalogSource =
  | { readonly type: "process"; readonly processId: string }
  | { readonly type: "address"; readonly peerAddress: string }
  | { readonly type: "any" };

/** Options of `CatalogPulls`. */
export interface CatalogPullsOptions {
  /** Asks an entry and takes over what it tells, whenever that comes; false if
   * it cannot be relied on. */
  readonly take: (source: CatalogSource) => Promise<boolean>;
  /** An entry has not answered in time. */
  readonly onLate: (source: CatalogSource) => void;
  readonly log: Logger;
}

/** The pulls of one entry. */
export class CatalogPulls {
  readonly #options: CatalogPullsOptions;
  #latest: Promise<boolean> = Promise.resolve(true);
  /** Pulls without an answer yet, by their source. */
  readonly #open = new Map<string, Promise<boolean>>();

  constructor(options: CatalogPullsOptions) {
    this.#options = options;
  }

  /** Takes over an entry's catalog; false if it cannot be relied on, or does
   * not come soon. Pulls follow each other until then, so that a change is asked
   * for once. */
  follow(source: CatalogSource): Promise<boolean> {
    this.#latest = this.#latest.then(async () => {
      const pull = this.#openPull(source);
      const isFollowed = await waitAtMost(pull, ANSWER_DUE_MS);
      if (isFollowed === undefined) this.#options.onLate(source);
      return isFollowed ?? false;
    });
    return this.#latest;
  }

  /** Asks an entry unless its answer is on the way; any entry is another one
   * each time. A pull that fails unexpectedly must not end those behind it. */
  #openPull(source: CatalogSource): Promise<boolean> {
    const { take, log } = this.#options;
    const entry = describeSource(source);
    const open = this.#open.get(entry);
    if (open !== undefined) return open;
    const pull = take(source)
      .catch((error: unknown) => {
        log.error({ entry, err: error }, "Pull failed.");
        return false;
      })
      .finally(() => this.#open.delete(entry));
    if (source.type !== "any") this.#open.set(entry, pull);
    return pull;
  }
}

/** Waits for a value for a time in milliseconds; undefined if it does not come
 * within it, and is not in the sockets by then either. */
async function waitAtMost<Value>(
  pending: Promise<Value>,
  ms: number,
): Promise<Value | undefined> {
  let pass = () => {};
  const passed = new Promise<undefined>((resolve) => {
    pass = () => resolve(undefined);
  });
  const timeout = startTimeout(() => pass(), ms);
  try {
    return await Promise.race([pending, passed]);
  } finally {
    timeout.stop();
  }
}

const SOURCE_TEXTS: {
  readonly [Type in CatalogSource["type"]]: (
    source: Extract<CatalogSource, { type: Type }>,
  ) => string;
} = {
  process: ({ processId }) => processId,
  address: ({ peerAddress }) => peerAddress,
  any: () => "any entry",
};

/** Names an entry in logs. */
export function describeSource(source: CatalogSource): string {
  const describe = SOURCE_TEXTS[source.type] as (
    source: CatalogSource,
  ) => string;
  return describe(source);
}
