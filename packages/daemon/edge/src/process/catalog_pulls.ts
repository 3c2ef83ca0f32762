/**
 * Pulls catalogs from other entries, and moves on to the next entry when an
 * answer is late.
 *
 * Late answers are applied too: an entry that is overloaded or behind a slow
 * link gets every answer late, whichever entry it asks. If it dropped late
 * answers, it would request the same changes again and never catch up.
 *
 * @module
 */

import { startTimeout } from "@dotterelmoor/network.timing";
import type { Logger } from "pino";

/** Time in milliseconds after which a pending answer is late and another entry
 * is asked as well. */
export const ANSWER_DUE_MS = 400;

/** Entry to pull from: by its process id, by the peer address of its message,
 * or any live entry. */
export type CatalogSource =
  | { readonly type: "process"; readonly processId: string }
  | { readonly type: "address"; readonly peerAddress: string }
  | { readonly type: "any" };

/** Options of `CatalogPulls`. */
export interface CatalogPullsOptions {
  /** Pulls from an entry and applies its answer, however late; false if the
   * answer is missing, unreadable, late or from a stale catalog, so that the
   * entry must not be followed. */
  readonly take: (source: CatalogSource) => Promise<boolean>;
  /** Called when an entry has not answered within `ANSWER_DUE_MS`. */
  readonly onLate: (source: CatalogSource) => void;
  readonly log: Logger;
}

/** Runs the pulls of this entry one after the other. */
export class CatalogPulls {
  readonly #options: CatalogPullsOptions;
  #latest: Promise<boolean> = Promise.resolve(true);
  /** Pulls without an answer yet, by described source. */
  readonly #pending = new Map<string, Promise<boolean>>();

  constructor(options: CatalogPullsOptions) {
    this.#options = options;
  }

  /** Pulls from an entry; false if the answer is late, missing or must not be
   * followed. Pulls run one at a time until they are late, so that a change is
   * requested only once. */
  pullFrom(source: CatalogSource): Promise<boolean> {
    this.#latest = this.#latest.then(async () => {
      const pull = this.#startPull(source);
      const isFollowed = await waitWithTimeout(pull, ANSWER_DUE_MS);
      if (isFollowed === undefined) this.#options.onLate(source);
      return isFollowed ?? false;
    });
    return this.#latest;
  }

  /** Starts a pull unless one from the same source is pending; `any` may select
   * a different entry each time, so it is never shared. A rejected pull must
   * not stop the queued ones. */
  #startPull(source: CatalogSource): Promise<boolean> {
    const { take, log } = this.#options;
    const entry = describeSource(source);
    const pending = this.#pending.get(entry);
    if (pending !== undefined) return pending;
    const pull = take(source)
      .catch((error: unknown) => {
        log.error({ entry, err: error }, "Pull failed.");
        return false;
      })
      .finally(() => this.#pending.delete(entry));
    if (source.type !== "any") this.#pending.set(entry, pull);
    return pull;
  }
}

/** Waits up to `ms` milliseconds for a value; undefined on a timeout. Data that
 * has arrived in the sockets by then is read first and still counts. */
async function waitWithTimeout<Value>(
  pending: Promise<Value>,
  ms: number,
): Promise<Value | undefined> {
  let timeOut = () => {};
  const timedOut = new Promise<undefined>((resolve) => {
    timeOut = () => resolve(undefined);
  });
  const timeout = startTimeout(() => timeOut(), ms);
  try {
    return await Promise.race([pending, timedOut]);
  } finally {
    timeout.stop();
  }
}

const SOURCE_FORMATTERS: {
  readonly [Type in CatalogSource["type"]]: (
    source: Extract<CatalogSource, { type: Type }>,
  ) => string;
} = {
  process: ({ processId }) => processId,
  address: ({ peerAddress }) => peerAddress,
  any: () => "any entry",
};

/** Formats a source for log lines. */
export function describeSource(source: CatalogSource): string {
  const describe = SOURCE_FORMATTERS[source.type] as (
    source: CatalogSource,
  ) => string;
  return describe(source);
}
