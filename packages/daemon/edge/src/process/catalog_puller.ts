/**
 * Pulls the catalog of another entry and applies its changes.
 *
 * @module
 */

import type {
  Catalog,
  CatalogDelta,
  CatalogTable,
} from "@dotterelmoor/core.catalog";
import { ANSWER_DUE_MS, STALE_MS } from "@dotterelmoor/core.refreshing";
import type { CatalogSource } from "@dotterelmoor/core.refreshing";
import type { CatalogMessage } from "@dotterelmoor/network.peering";
import type { Logger } from "pino";
import { describeSource } from "./catalog_source.ts";
import type { ContactClock } from "./contact_clock.ts";
import { unpackDelta } from "./delta_packing.ts";
import type { EdgeMetrics, PullResult } from "./metrics.ts";

/** Time in milliseconds by which a stale answer may be older than the local
 * catalog without a warning: entries round and delay their ages differently. */
const AGE_SLACK_MS = 300;

/** Minimum interval in milliseconds between warnings about failed pulls. */
const WARN_INTERVAL_MS = 5_000;

/** Options of `CatalogPuller`. */
export interface CatalogPullerOptions {
  readonly catalog: Catalog;
  readonly metrics: EdgeMetrics;
  readonly log: Logger;
  /** Records the answers of entries in contact. */
  readonly contact: ContactClock;
  /** Time in milliseconds since the catalog was last known to be current. */
  readonly getCatalogAgeMs: () => number;
  /** True if an answer from an entry with a catalog of this age in milliseconds
   * counts as contact with the installation. */
  readonly isContact: (ageMs: number) => boolean;
  readonly isStopped: () => boolean;
  /** Called after each update of the catalog. */
  readonly onChanged: (update: PulledUpdate) => void;
  /** Asks an entry for its catalog changes; undefined without an answer. */
  readonly pull: (
    source: CatalogSource,
  ) => Promise<CatalogMessage | undefined>;
}

/** An update of the catalog by another entry. */
export interface PulledUpdate {
  readonly source: string;
  /** Upper bound in milliseconds on the time since an entry first read the
   * configuration. */
  readonly documentAgeMs: number;
  /** Number of rows of each table that was sent whole. */
  readonly rows: Partial<Record<CatalogTable, number>>;
}

/** What an entry stated with its catalog. */
export interface PulledState {
  /** Time in milliseconds since its catalog was last known to be current. */
  readonly ageMs: number;
  /** Process id of the reader of its region, as far as it knows. */
  readonly reader: string | undefined;
}

/** Pulls from other entries. */
export class CatalogPuller {
  readonly #options: CatalogPullerOptions;
  #warnedAtMs = -Infinity;

  constructor(options: CatalogPullerOptions) {
    this.#options = options;
  }

  /** Pulls from an entry and applies its changes, however late they come;
   * undefined if the answer is missing or unreadable. Changes are ordered by
   * their versions, so the order of answers does not matter. */
  async pull(source: CatalogSource): Promise<PulledState | undefined> {
    const { catalog, contact, isContact, metrics, onChanged } = this.#options;
    const sentAt = contact.mark();
    const answer = await this.#options.pull(source);
    if (this.#options.isStopped()) return undefined;
    const delta = answer === undefined ? undefined : unpackDelta(answer);
    const elapsedMs = performance.now() - sentAt.steadyMs;
    const result = getPullResult({ answer, delta, elapsedMs });
    metrics.catalogPulls.observe({ result }, elapsedMs / 1_000);
    this.#warn(source, { result, elapsedMs, ageMs: answer?.ageMs });
    if (answer === undefined || delta === undefined) return undefined;
    const isOfEarlierEra = (delta.servers.era ?? 0) < catalog.era;
    catalog.applyDelta(delta, performance.now());
    const { documentAgeMs = 0 } = answer;
    // What is current in a history that the store has left tells nothing.
    const ageMs = isOfEarlierEra ? Infinity : answer.ageMs;
    if (!isOfEarlierEra && isContact(ageMs)) contact.note(sentAt);
    onChanged({
      source: describeSource(source),
      documentAgeMs: elapsedMs + documentAgeMs,
      rows: countRows(delta),
    });
    return { ageMs, reader: getReader(source, answer) };
  }

  #warn(
    source: CatalogSource,
    pull: {
      readonly result: PullResult;
      readonly elapsedMs: number;
      readonly ageMs: number | undefined;
    },
  ): void {
    const { log, getCatalogAgeMs } = this.#options;
    // Among entries that all have no current catalog, an old answer tells
    // nothing.
    const acceptedMs = Math.max(STALE_MS, getCatalogAgeMs() + AGE_SLACK_MS);
    const isExpected = pull.result === "followed" ||
      (pull.result === "old" && (pull.ageMs ?? 0) <= acceptedMs);
    if (isExpected) return;
    const nowMs = performance.now();
    if (nowMs - this.#warnedAtMs < WARN_INTERVAL_MS) return;
    this.#warnedAtMs = nowMs;
    const entry = describeSource(source);
    const catalogAgeMs = Math.round(getCatalogAgeMs());
    log.warn(
      { entry, ...pull, elapsedMs: Math.round(pull.elapsedMs), catalogAgeMs },
      "Entry not followed.",
    );
  }
}

/** Counts the rows of the tables that a delta holds whole. */
function countRows(
  delta: CatalogDelta,
): Partial<Record<CatalogTable, number>> {
  const rows: Partial<Record<CatalogTable, number>> = {};
  for (const table of ["servers", "orders", "crashes"] as const) {
    const update = delta[table];
    if (update?.isComplete) rows[table] = update.changes.length;
  }
  return rows;
}

/** Returns the reader that an entry names; one of an earlier version names none
 * and counts as the reader. */
function getReader(
  source: CatalogSource,
  { reader }: CatalogMessage,
): string | undefined {
  if (reader !== undefined) return reader === "" ? undefined : reader;
  return source.type === "process" ? source.processId : undefined;
}

function getPullResult({ answer, delta, elapsedMs }: {
  readonly answer: CatalogMessage | undefined;
  readonly delta: CatalogDelta | undefined;
  readonly elapsedMs: number;
}): PullResult {
  if (answer === undefined) return "unanswered";
  if (delta === undefined) return "unreadable";
  if (answer.ageMs >= STALE_MS) return "old";
  return elapsedMs > ANSWER_DUE_MS ? "late" : "followed";
}
