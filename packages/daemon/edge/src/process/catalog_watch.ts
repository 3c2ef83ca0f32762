/**
 * Keeps the catalog up to date.
 *
 * One entry of each region, the reader, reads the platform's store, and the
 * others pull its catalog; an entry whose catalog is too old reads the store
 * itself. `core.refreshing` decides what is read and pulled when; this module
 * carries it out.
 *
 * @module
 */

import type { Catalog, CatalogTable } from "@dotterelmoor/core.catalog";
import { createRefresher } from "@dotterelmoor/core.refreshing";
import type {
  CatalogSource,
  RefreshAction,
  Refresher,
  RefreshEvent,
} from "@dotterelmoor/core.refreshing";
import { applyEvent } from "@dotterelmoor/core.types";
import type { DisposableStore, EventHandlers } from "@dotterelmoor/core.types";
import type { CatalogMessage } from "@dotterelmoor/network.peering";
import { startTimeout } from "@dotterelmoor/network.timing";
import type { Timeout } from "@dotterelmoor/network.timing";
import type { Logger } from "pino";
import type { CatalogStore } from "../ports.ts";
import { CatalogPuller } from "./catalog_puller.ts";
import type { PulledUpdate } from "./catalog_puller.ts";
import { describeSource } from "./catalog_source.ts";
import { ContactClock } from "./contact_clock.ts";
import { EraWatch } from "./era_watch.ts";
import type { RenewedRows } from "./era_watch.ts";
import type { EdgeMetrics } from "./metrics.ts";
import { TableReader } from "./table_reader.ts";

/** Longest time in milliseconds between two ticks: the order of the region's
 * entries may change meanwhile. */
const MAX_TICK_MS = 400;

const NOTHING_RENEWED: RenewedRows = {
  registration: false,
  savedState: false,
  crashNotes: 0,
};

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
  /** Called when the store has come back from an older copy; writes again what
   * this entry wrote there. */
  readonly onEraChanged?: () => RenewedRows;
  /** Process ids of the live entries of the region, this one included, in
   * order of precedence as the reader. */
  readonly listRegion: () => readonly string[];
  /** Time in milliseconds after a start in which this entry looks for others
   * before it reads the store itself. */
  readonly joinMs: number;
  /** True if an answer from an entry with a catalog of this age in milliseconds
   * counts as contact with the installation. */
  readonly isContact: (ageMs: number) => boolean;
  /** Total time in milliseconds for which the instance was suspended, which the
   * monotonic clock does not count; 0 by default. */
  readonly suspendedMs?: () => number;
  /** Asks an entry for its catalog changes; undefined without an answer. */
  readonly pull: (
    source: CatalogSource,
  ) => Promise<CatalogMessage | undefined>;
}

/** Keeps the catalog of one entry up to date. */
export interface CatalogWatch {
  /** True once a catalog with a configuration has been loaded. */
  readonly isLoaded: boolean;
  /** True while this entry reads the store for its region. */
  readonly isReading: boolean;
  /** Process id of the entry that reads for the region, as far as this one
   * knows; undefined if it knows none that the store answers. */
  readonly reader: string | undefined;
  /** Time in milliseconds, suspensions included, since the catalog was last
   * known to be current; infinite before the first load. */
  ageMs(): number;
  /** Time in milliseconds, suspensions included, since the request of the last
   * answered call to the store for the configuration, or to an entry in
   * contact. */
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
  readonly #refresher: Refresher;
  readonly #readers: Readonly<Record<CatalogTable, TableReader>>;
  readonly #puller: CatalogPuller;
  readonly #eras: EraWatch;
  readonly #contact = new ContactClock();
  #documentVersion: number | undefined;
  #documentReadAtMs = -Infinity;
  #isLoaded = false;
  #timeout: Timeout | undefined;
  #stopped = false;

  readonly #actions: EventHandlers<RefreshAction, void> = {
    read: (action) => void this.#read(action),
    pull: (action) => void this.#pull(action),
    source_changed: (action) => this.#logSource(action),
  };

  constructor(options: CatalogWatchOptions) {
    this.#options = options;
    const { processId, joinMs } = options;
    this.#refresher = createRefresher({
      processId,
      startedAtMs: this.#nowMs(),
      joinMs,
    });
    const shared = {
      ...options,
      contact: this.#contact,
      getCatalogAgeMs: () => this.ageMs(),
    };
    const readerOptions = {
      ...shared,
      onChanged: (rows: PulledUpdate["rows"]) =>
        this.#recordChange({ source: "store", documentAgeMs: 0, rows }),
    };
    this.#puller = new CatalogPuller({
      ...shared,
      isStopped: () => this.#stopped,
      onChanged: (update) => this.#recordChange(update),
    });
    this.#eras = new EraWatch({
      ...options,
      onEraChanged: options.onEraChanged ?? (() => NOTHING_RENEWED),
    });
    this.#readers = {
      servers: new TableReader("servers", readerOptions),
      orders: new TableReader("orders", readerOptions),
      crashes: new TableReader("crashes", readerOptions),
    };
  }

  get isReading(): boolean {
    return this.#refresher.source === this.#options.processId;
  }

  get reader(): string | undefined {
    return this.#refresher.getReader(this.#nowMs());
  }

  get isLoaded(): boolean {
    this.#isLoaded ||= this.#options.catalog.document !== undefined &&
      Number.isFinite(this.ageMs());
    return this.#isLoaded;
  }

  ageMs(): number {
    return this.#refresher.ageMs(this.#nowMs());
  }

  contactAgeMs(): number {
    return this.#contact.ageMs();
  }

  documentAgeMs(): number {
    return performance.now() - this.#documentReadAtMs;
  }

  start(): void {
    this.#options.store.add(() => {
      this.#stopped = true;
      this.#timeout?.stop();
    });
    this.#tick();
  }

  pullNow(peerAddress: string): void {
    this.#handle({ type: "announced", peerAddress });
  }

  #nowMs(): number {
    return performance.now() + (this.#options.suspendedMs?.() ?? 0);
  }

  #tick(): void {
    // An unexpected error below must not end the ticks.
    this.#scheduleTick(MAX_TICK_MS);
    this.#handle({ type: "tick", region: this.#options.listRegion() });
  }

  #handle(event: RefreshEvent): void {
    if (this.#stopped) return;
    const nowMs = this.#nowMs();
    for (const action of this.#refresher.handle(event, nowMs)) {
      applyEvent(this.#actions, action, nowMs);
    }
    this.#scheduleTick(this.#refresher.wakeAtMs - nowMs);
  }

  #scheduleTick(delayMs: number): void {
    this.#timeout?.stop();
    const ms = Math.min(MAX_TICK_MS, Math.max(1, delayMs));
    this.#timeout = startTimeout(() => this.#tick(), ms);
  }

  async #read(
    action: Extract<RefreshAction, { type: "read" }>,
  ): Promise<void> {
    const { id, table, waitMs, isDirect, wholeAfterMs } = action;
    const { log, metrics } = this.#options;
    if (isDirect) {
      const catalogAgeMs = Math.round(this.ageMs());
      metrics.directReads.inc({ table });
      log.info({ table, catalogAgeMs }, "Catalog too old; reading the store.");
    }
    const result = await this.#readers[table].read(waitMs, wholeAfterMs)
      .catch((error: unknown) => {
        log.error({ table, err: error }, "Read failed.");
        return "failed" as const;
      });
    this.#handle(
      result === "failed"
        ? { type: "read_failed", id }
        : { type: "read", id, hasChanges: result === "changed" },
    );
  }

  async #pull(
    { id, source }: Extract<RefreshAction, { type: "pull" }>,
  ): Promise<void> {
    const answer = await this.#puller.pull(source).catch((error: unknown) => {
      const entry = describeSource(source);
      this.#options.log.error({ entry, err: error }, "Pull failed.");
      return undefined;
    });
    this.#handle(
      answer === undefined
        ? { type: "pull_failed", id }
        : { type: "pulled", id, ...answer },
    );
  }

  #recordChange({ source, documentAgeMs, rows }: PulledUpdate): void {
    const { catalog, onChanged } = this.#options;
    const version = catalog.document?.version;
    if (version !== this.#documentVersion) {
      this.#documentVersion = version;
      this.#documentReadAtMs = performance.now() - documentAgeMs;
    }
    onChanged(source, this.documentAgeMs());
    if (this.#eras.check(source, rows)) this.#handle({ type: "era_changed" });
  }

  #logSource(
    { source, ageMs }: Extract<RefreshAction, { type: "source_changed" }>,
  ): void {
    const { log, processId } = this.#options;
    const catalogAgeMs = Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
    if (source === processId) {
      log.info({ catalogAgeMs }, "Reading the store for the region.");
    } else {
      log.info({ entry: source, catalogAgeMs }, "Following another entry.");
    }
  }
}
