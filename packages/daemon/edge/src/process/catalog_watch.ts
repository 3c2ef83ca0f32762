/**
 * Keeps the catalog up to date: from the store where this entry reads for its
 * region, else from the entry that does, and from any entry without both.
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

/** Interval in milliseconds at which the reading entry is asked. If it is cut
 * off at the moment of a change, others read the change within 2.5 s. */
const FOLLOW_INTERVAL_MS = 400;

/** Age in milliseconds above which an entry's catalog is not followed; it
 * covers the reader's pause and one call that is not answered. */
const STALE_MS = 1_500;

/** Time in milliseconds by which an old answer may be older than what is known
 * here: entries round and delay their ages differently. */
const AGE_SLACK_MS = 300;

/** Interval in milliseconds of the same while nothing is known after a start;
 * callers are refused until then. */
const START_INTERVAL_MS = 50;

/** Time in milliseconds after a start for which an entry that knows nothing
 * itself is asked again: entries that start together read at that moment. */
const STARTING_MS = 1_000;

/** Interval in milliseconds between the plain lines of a long fault. */
const WARN_INTERVAL_MS = 5_000;

/** Options of `startCatalogWatch`. */
export interface CatalogWatchOptions {
  readonly processId: string;
  readonly catalog: Catalog;
  readonly source: CatalogStore;
  readonly store: DisposableStore;
  readonly metrics: EdgeMetrics;
  readonly log: Logger;
  /** The catalog was brought up to date by `store` or by an entry, named by its
   * process id or its address, or as `any entry`. The configuration was first
   * read from the store, by any entry, so many milliseconds ago at most. */
  readonly onChanged: (source: string, documentAgeMs: number) => void;
  /** Process ids of the live entries of the region, this one included, in
   * the order in which they are to read. */
  readonly listRegion: () => readonly string[];
  /** Time in milliseconds after a start in which others are looked for before
   * this entry reads the store. */
  readonly joinMs: number;
  /** True if an entry whose catalog was current so long ago counts as contact
   * with the installation. */
  readonly isContact: (ageMs: number) => boolean;
  /** Asks an entry for what has changed in its catalog. */
  readonly pull: (
    source: CatalogSource,
  ) => Promise<CatalogMessage | undefined>;
}

const ANY_SOURCE: CatalogSource = { type: "any" };

/** The running watch. */
export interface CatalogWatch {
  readonly isLoaded: boolean;
  /** True while this entry reads the store for its region. */
  readonly isReading: boolean;
  /** Process id of the entry that reads for the region, as far as is known. */
  readonly reader: string | undefined;
  /** Time in milliseconds since the catalog was known to be current. */
  ageMs(): number;
  /** Time in milliseconds, suspensions included, since the store or an entry
   * in contact was asked and answered. */
  contactAgeMs(): number;
  /** Time in milliseconds, at most, since the configuration was first read from
   * the store, by any entry. */
  documentAgeMs(): number;
  /** Asks an entry that is ahead now. */
  pullNow(peerAddress: string): void;
}

/** Starts to keep the catalog up to date. */
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
  /** Latest time at which the catalog was current, as far as others told. */
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
      onChanged: (source: string) => this.#noteChange(source, 0),
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

  #noteChange(source: string, documentAgeMs: number): void {
    const { catalog, onChanged } = this.#options;
    const version = catalog.document?.version;
    if (version !== this.#documentVersion) {
      this.#documentVersion = version;
      this.#documentReadAtMs = performance.now() - documentAgeMs;
    }
    onChanged(source, this.documentAgeMs());
  }

  /** The table of crashes is left out: it concerns few requests, and must not
   * make routes and servers seem old. */
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
      return this.isLoaded ? FOLLOW_INTERVAL_MS : START_INTERVAL_MS;
    }, { isStopped, log: this.#options.log });
  }

  pullNow(peerAddress: string): void {
    if (this.#pulling) return;
    this.#pulling = true;
    const source: CatalogSource = { type: "address", peerAddress };
    void this.#pulls.follow(source).finally(() => {
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
      // Others that reach the store read for a while.
      if (this.#readAgeMs() >= STALE_MS) {
        this.#choice.passOver(processId, nowMs);
      }
      await this.#pulls.follow(ANY_SOURCE);
      return;
    }
    this.#setReading(false);
    const isFollowed = await this.#pulls.follow(
      chosen === undefined
        ? ANY_SOURCE
        : { type: "process", processId: chosen },
    );
    const isStarting = !this.isLoaded && sinceStartMs < STARTING_MS;
    if (!isFollowed && !isStarting && chosen !== undefined) {
      this.#choice.passOver(chosen, performance.now());
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

  /** Asks an entry and takes over its catalog; false if that cannot be relied
   * on. Versions tell what is newer, so the order of answers does not matter. */
  async #take(source: CatalogSource): Promise<boolean> {
    const { catalog, isContact } = this.#options;
    const asked = this.#contact.mark();
    const answer = await this.#options.pull(source);
    if (this.#stopped) return false;
    const delta = answer === undefined ? undefined : unpackDelta(answer);
    const elapsedMs = performance.now() - asked.steadyMs;
    const result = getPullResult({ answer, delta, elapsedMs });
    this.#options.metrics.catalogPulls.observe({ result }, elapsedMs / 1_000);
    if (answer === undefined || delta === undefined) {
      this.#warn(source, { result, elapsedMs });
      return false;
    }
    // An entry that has just read itself still follows the reading one, or
    // the two would change places again and again.
    const acceptedMs = Math.max(STALE_MS, this.ageMs() + AGE_SLACK_MS);
    const nowMs = performance.now();
    // Also an entry that has not read lately may know what is newer.
    catalog.applyDelta(delta, nowMs);
    // What comes late may be as old as its question.
    const toldAtMs = elapsedMs > ANSWER_DUE_MS ? asked.steadyMs : nowMs;
    this.#followedAtMs = Math.max(this.#followedAtMs, toldAtMs - answer.ageMs);
    if (isContact(answer.ageMs)) this.#contact.note(asked);
    this.#noteChange(
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
