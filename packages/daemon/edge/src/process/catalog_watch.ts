/**
 * Keeps the catalog up to date.
 *
 * One entry of each region, the reader, reads the platform's store. The others
 * follow it: they pull its catalog at intervals. An entry that can neither read
 * nor follow the reader pulls from any live entry.
 *
 * @module
 */

import type {
  Catalog,
  CatalogDelta,
  CatalogTable,
} from "@dotterelmoor/core.catalog";
import type { DisposableStore } from "@dotterelmoor/core.types";
import type { CatalogMessage } from "@dotterelmoor/network.peering";
import type { Logger } from "pino";
import type { CatalogStore } from "../ports.ts";
import {
  ANSWER_DUE_MS,
  CatalogPulls,
  describeSource,
} from "./catalog_pulls.ts";
import type { CatalogSource } from "./catalog_pulls.ts";
import { ContactClock } from "./contact_clock.ts";
import { unpackDelta } from "./delta_packing.ts";
import { runRepeatedly } from "./intervals.ts";
import type { EdgeMetrics, PullResult } from "./metrics.ts";
import { createReaderChoice } from "./reader_choice.ts";
import { TableReader } from "./table_reader.ts";

/** Interval in milliseconds between pulls from the region's reader. If the
 * reader is cut off at the moment of a change, other entries still read the
 * change within 2.5 s. */
const PULL_INTERVAL_MS = 400;

/** Age in milliseconds from which a pulled catalog counts as stale. Covers the
 * reader's pause between reads and one unanswered call. */
const STALE_MS = 1_500;

/** Time in milliseconds by which a stale answer may be older than the local
 * catalog without a warning: entries round and delay their ages differently. */
const AGE_SLACK_MS = 300;

/** Interval in milliseconds between pulls until a first catalog is loaded;
 * callers are refused until then. */
const START_INTERVAL_MS = 50;

/** Time in milliseconds after a start in which an entry without a catalog asks
 * the same reader again instead of skipping it: entries that start together
 * read the store in this time. */
const START_PHASE_MS = 1_000;

/** Minimum interval in milliseconds between warnings about failed pulls. */
const WARN_INTERVAL_MS = 5_000;

/** Options of `startCatalogWatch`. */
export interface CatalogWatchOptions {
  readonly processId: string;
  readonly catalog: Catalog;
  readonly source: CatalogStore;
  readonly store: DisposableStore;
  readonly metrics: EdgeMetrics;
  readonly log: Logger;
  /** Called after each update of the catalog. `source` is `store`, the process
   * id or address of the entry that answered, or `any entry`. `documentAgeMs`
   * is an upper bound in milliseconds on the time since any entry first read
   * the configuration from the store. */
  readonly onChanged: (source: string, documentAgeMs: number) => void;
  /** Process ids of the live entries of the region, this one included, in
   * order of precedence as the reader. */
  readonly listRegion: () => readonly string[];
  /** Time in milliseconds after a start in which this entry looks for others
   * before it reads the store itself. */
  readonly joinMs: number;
  /** True if an answer from an entry with a catalog of this age in milliseconds
   * counts as contact with the installation. */
  readonly isContact: (ageMs: number) => boolean;
  /** Asks an entry for its catalog changes; undefined without an answer. */
  readonly pull: (
    source: CatalogSource,
  ) => Promise<CatalogMessage | undefined>;
}

const ANY_SOURCE: CatalogSource = { type: "any" };

/** Keeps the catalog of one entry up to date. */
export interface CatalogWatch {
  /** True once a catalog with a configuration has been loaded. */
  readonly isLoaded: boolean;
  /** True while this entry reads the store for its region. */
  readonly isReading: boolean;
  /** Process id of the entry that reads for the region; undefined if none can
   * be chosen. */
  readonly reader: string | undefined;
  /** Time in milliseconds since the catalog was last known to be current;
   * infinite before the first load. */
  ageMs(): number;
  /** Time in milliseconds, suspensions included, since the request of the last
   * answered call to the store or to an entry in contact. */
  contactAgeMs(): number;
  /** Upper bound in milliseconds on the time since any entry first read the
   * configuration from the store. */
  documentAgeMs(): number;
  /** Pulls at once from an entry that has a newer configuration. */
  pullNow(peerAddress: string): void;
}

/** Starts keeping the catalog up to date, until the store is disposed of. */
export function startCatalogWatch(options: CatalogWatchOptions): CatalogWatch {
  const watch = new Watch(options);
  watch.start();
  return watch;
}

class Watch implements CatalogWatch {
  readonly #options: CatalogWatchOptions;
  readonly #startedAtMs = performance.now();
  readonly #choice = createReaderChoice();
  readonly #readers: Readonly<Record<CatalogTable, TableReader>>;
  /** Monotonic time at which the catalog was last current according to
   * pulls. */
  #followedAtMs = -Infinity;
  readonly #contact = new ContactClock();
  #documentVersion: number | undefined;
  #documentReadAtMs = -Infinity;
  #isReading = false;
  reader: string | undefined;
  #isLoaded = false;
  readonly #pulls: CatalogPulls;
  #stopped = false;
  #warnedAtMs = -Infinity;
  #pulling = false;

  constructor(options: CatalogWatchOptions) {
    this.#options = options;
    const readerOptions = {
      ...options,
      contact: this.#contact,
      getCatalogAgeMs: () => this.ageMs(),
      onChanged: (source: string) => this.#recordChange(source, 0),
    };
    this.#pulls = new CatalogPulls({
      take: (source) => this.#take(source),
      onLate: (source) =>
        this.#warn(source, { result: "late", elapsedMs: ANSWER_DUE_MS }),
      log: options.log,
    });
    this.#readers = {
      servers: new TableReader("servers", readerOptions),
      orders: new TableReader("orders", readerOptions),
      crashes: new TableReader("crashes", readerOptions),
    };
  }

  get isReading(): boolean {
    return this.#isReading;
  }

  get isLoaded(): boolean {
    this.#isLoaded ||= this.#options.catalog.document !== undefined &&
      Number.isFinite(this.ageMs());
    return this.#isLoaded;
  }

  ageMs(): number {
    return Math.min(
      this.#readAgeMs(),
      performance.now() - this.#followedAtMs,
    );
  }

  contactAgeMs(): number {
    return this.#contact.ageMs();
  }

  documentAgeMs(): number {
    return performance.now() - this.#documentReadAtMs;
  }

  #recordChange(source: string, documentAgeMs: number): void {
    const { catalog, onChanged } = this.#options;
    const version = catalog.document?.version;
    if (version !== this.#documentVersion) {
      this.#documentVersion = version;
      this.#documentReadAtMs = performance.now() - documentAgeMs;
    }
    onChanged(source, this.documentAgeMs());
  }

  /** Leaves out the crashes table: it concerns few requests, and its age must
   * not make routes and servers count as stale. */
  #readAgeMs(): number {
    const { servers, orders } = this.#readers;
    return Math.max(servers.ageMs(), orders.ageMs());
  }

  start(): void {
    this.#options.store.add(() => {
      this.#stopped = true;
    });
    const isStopped = () => this.#stopped;
    void runRepeatedly(async () => {
      await this.#step();
      return this.isLoaded ? PULL_INTERVAL_MS : START_INTERVAL_MS;
    }, { isStopped, log: this.#options.log });
  }

  pullNow(peerAddress: string): void {
    if (this.#pulling) return;
    this.#pulling = true;
    const source: CatalogSource = { type: "address", peerAddress };
    void this.#pulls.pullFrom(source).finally(() => {
      this.#pulling = false;
    });
  }

  async #step(): Promise<void> {
    const { processId, listRegion, joinMs } = this.#options;
    const nowMs = performance.now();
    const sinceStartMs = nowMs - this.#startedAtMs;
    const chosen = this.#choice.choose(listRegion(), nowMs);
    this.reader = chosen;
    if (chosen === processId) {
      if (!this.isLoaded && sinceStartMs < joinMs) return;
      this.#setReading(true);
      const { servers, orders } = this.#readers;
      const isFailing = servers.isFailing || orders.isFailing;
      if (!isFailing) return;
      // Lets another entry that reaches the store take over for a while.
      if (this.#readAgeMs() >= STALE_MS) {
        this.#choice.markFailed(processId, nowMs);
      }
      await this.#pulls.pullFrom(ANY_SOURCE);
      return;
    }
    this.#setReading(false);
    const isFollowed = await this.#pulls.pullFrom(
      chosen === undefined
        ? ANY_SOURCE
        : { type: "process", processId: chosen },
    );
    const isStarting = !this.isLoaded && sinceStartMs < START_PHASE_MS;
    if (!isFollowed && !isStarting && chosen !== undefined) {
      this.#choice.markFailed(chosen, performance.now());
    }
  }

  #setReading(isReading: boolean): void {
    if (isReading === this.#isReading) return;
    this.#isReading = isReading;
    const readers = Object.values(this.#readers);
    if (isReading) {
      this.#options.log.info("Reading the store for the region.");
      for (const reader of readers) reader.start();
    } else {
      this.#followedAtMs = performance.now() - this.ageMs();
      for (const reader of readers) reader.stop();
    }
  }

  /** Pulls from an entry and applies its changes; false if the answer is
   * missing, unreadable, stale or late. Changes are ordered by their versions,
   * so the order of answers does not matter. */
  async #take(source: CatalogSource): Promise<boolean> {
    const { catalog, isContact } = this.#options;
    const sentAt = this.#contact.mark();
    const answer = await this.#options.pull(source);
    if (this.#stopped) return false;
    const delta = answer === undefined ? undefined : unpackDelta(answer);
    const elapsedMs = performance.now() - sentAt.steadyMs;
    const result = getPullResult({ answer, delta, elapsedMs });
    this.#options.metrics.catalogPulls.observe({ result }, elapsedMs / 1_000);
    if (answer === undefined || delta === undefined) {
      this.#warn(source, { result, elapsedMs });
      return false;
    }
    // Limits only the warning below. Whether the source is followed does not
    // depend on the local age: otherwise an entry that has just read the store
    // would not follow the reader, and the two would swap roles again and
    // again.
    const acceptedMs = Math.max(STALE_MS, this.ageMs() + AGE_SLACK_MS);
    const nowMs = performance.now();
    // A stale answer may still hold newer versions.
    catalog.applyDelta(delta, nowMs);
    // A late answer may be as old as its request.
    const currentAtMs = elapsedMs > ANSWER_DUE_MS ? sentAt.steadyMs : nowMs;
    this.#followedAtMs = Math.max(
      this.#followedAtMs,
      currentAtMs - answer.ageMs,
    );
    if (isContact(answer.ageMs)) this.#contact.note(sentAt);
    this.#recordChange(
      describeSource(source),
      elapsedMs + (answer.documentAgeMs ?? 0),
    );
    const { ageMs } = answer;
    if (ageMs > acceptedMs) this.#warn(source, { result, elapsedMs, ageMs });
    return result === "followed";
  }

  #warn(
    source: CatalogSource,
    pull: {
      readonly result: PullResult;
      readonly elapsedMs: number;
      readonly ageMs?: number;
    },
  ): void {
    const nowMs = performance.now();
    if (nowMs - this.#warnedAtMs < WARN_INTERVAL_MS) return;
    this.#warnedAtMs = nowMs;
    const entry = describeSource(source);
    const catalogAgeMs = Math.round(this.ageMs());
    this.#options.log.warn(
      { entry, ...pull, elapsedMs: Math.round(pull.elapsedMs), catalogAgeMs },
      "Entry not followed.",
    );
  }
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
