/**
 * Quarantines requests that crash backend servers.
 *
 * All entries decide from the same crash notes, which are stored in the
 * platform's store and distributed with the catalog. An entry applies its own
 * notes at once, before they are stored.
 *
 * @module
 */

import type { Catalog } from "@dotterelmoor/core.catalog";
import {
  computeStanding,
  hasExpiredNotes,
  makeNoteKey,
} from "@dotterelmoor/core.quarantine";
import type {
  CrashNote,
  QuarantinedStanding,
} from "@dotterelmoor/core.quarantine";
import type { CatalogStore } from "../ports.ts";
import type { CrashReports } from "./crash_reports.ts";
import type { RunEnd, SentRequest, ServerCrash } from "./crash_watch.ts";
import type { EdgeLog } from "./logging.ts";
import type { EdgeMetrics } from "./metrics.ts";

/** Time in milliseconds after an answer in which a request is not a suspect. A
 * request that comes this often is in flight at many crashes by chance, and
 * other entries learn of its answers only a second later. */
const ANSWERED_EXEMPT_MS = 5_000;

/** Number of answered requests that are remembered. */
const MAX_ANSWERED = 2_000;

/** Longest wait in milliseconds for the stored notes, from the first request
 * that could be sent. They are read along with the configuration, and some
 * calls may fail. */
const RESTORE_TIMEOUT_MS = 3_000;

/** Longest time in milliseconds after which a refused caller is told to
 * retry. */
const MAX_RETRY_AFTER_MS = 600_000;

/** Time in milliseconds after a claim within which the catalog holds the
 * trial's note, if any entry wrote it. */
const CLAIM_RETENTION_MS = 5_000;

/** Largest number of expired notes that one write removes. */
const MAX_EXPIRED = 20;

/** Why a request is quarantined; for log lines. */
export interface QuarantineInputs {
  readonly fingerprint: string;
  /** The latest crashes, each with the entry that noted it. */
  readonly crashes: readonly {
    readonly server: string;
    readonly software: string;
    readonly entry: string;
    readonly ageMs: number;
  }[];
  readonly trials: number;
}

/** Whether a request may be sent. */
export type QuarantineVerdict =
  | {
    readonly type: "admit";
    /** Software versions that may run the request; undefined for all. */
    readonly software: ReadonlySet<string> | undefined;
  }
  | {
    readonly type: "refuse";
    readonly retryAfterMs: number;
    readonly inputs: QuarantineInputs;
  }
  /** The entry that claims the trial may send the request once, to a server
   * whose software version is not in `triedSoftware`. */
  | {
    readonly type: "trial";
    readonly triedSoftware: ReadonlySet<string>;
    readonly inputs: QuarantineInputs;
  };

/** Options of `createCrashQuarantine`. */
export interface CrashQuarantineOptions {
  readonly instance: string;
  readonly catalog: Catalog;
  readonly source: Pick<CatalogStore, "claimTrial">;
  readonly reports: Pick<CrashReports, "remember" | "report">;
  readonly metrics: EdgeMetrics;
  readonly log: EdgeLog;
  /** Time of day in milliseconds since 1970. */
  readonly wallMs: () => number;
}

/** The quarantine of one entry. */
export interface CrashQuarantine {
  /** False until the stored notes have been read, or the wait for them is
   * over. */
  readonly isRestored: boolean;
  /** Decides whether a request may be sent. `listSoftware` returns the software
   * versions of the servers that could run it; it is called only if the request
   * is quarantined. */
  check(
    fingerprint: string,
    listSoftware: () => readonly string[],
  ): QuarantineVerdict;
  /** Claims a trial for this entry; false if another entry has claimed it or
   * the store does not confirm the claim. */
  claimTrial(run: SentRequest): Promise<boolean>;
  /** Records how a run ended; an answer clears its request of suspicion. */
  recordEnd(run: SentRequest, end: RunEnd): void;
  /** Notes a crash for each suspected request that was lost with it. */
  recordCrash(crash: ServerCrash): void;
  /** Keys of expired notes, up to the number that one write removes. */
  listExpired(): string[];
  /** Counts the requests that are quarantined now. */
  countQuarantined(): number;
}

/** Creates the quarantine of one entry. */
export function createCrashQuarantine(
  options: CrashQuarantineOptions,
): CrashQuarantine {
  return new Quarantine(options);
}

const ADMIT: QuarantineVerdict = { type: "admit", software: undefined };

class Quarantine implements CrashQuarantine {
  readonly #options: CrashQuarantineOptions;
  /** Monotonic time of the first check of `isRestored`. */
  #firstCheckAtMs: number | undefined;
  /** Monotonic time of the latest answer by fingerprint, oldest first. */
  readonly #answeredAtMs = new Map<string, number>();
  /** Number of the trial that this entry claimed last, by fingerprint. */
  readonly #claims = new Map<string, number>();

  constructor(options: CrashQuarantineOptions) {
    this.#options = options;
  }

  get isRestored(): boolean {
    if (this.#options.catalog.position.crashes > 0) return true;
    this.#firstCheckAtMs ??= performance.now();
    return performance.now() - this.#firstCheckAtMs > RESTORE_TIMEOUT_MS;
  }

  check(
    fingerprint: string,
    listSoftware: () => readonly string[],
  ): QuarantineVerdict {
    const nowMs = this.#options.wallMs();
    const { crashNotes } = this.#options.catalog;
    const standing = computeStanding(crashNotes, fingerprint, nowMs);
    if (standing.type === "clear") return ADMIT;
    const { curedSoftware, triedSoftware, nextTrialAtMs } = standing;
    const software = listSoftware();
    if (software.some((name) => curedSoftware.has(name))) {
      return { type: "admit", software: curedSoftware };
    }
    const inputs = describeInputs(fingerprint, standing, nowMs);
    const isClaimed = this.#claims.get(fingerprint) === standing.trials + 1;
    if (triedSoftware !== undefined && !isClaimed) {
      const isDue = nowMs >= nextTrialAtMs;
      if (isDue) return { type: "trial", triedSoftware: new Set(), inputs };
      const isNew = software.some((name) => !triedSoftware.has(name));
      if (isNew) return { type: "trial", triedSoftware, inputs };
    }
    const retryAfterMs = Math.min(MAX_RETRY_AFTER_MS, nextTrialAtMs - nowMs);
    return { type: "refuse", retryAfterMs, inputs };
  }

  async claimTrial({ fingerprint, server }: SentRequest): Promise<boolean> {
    const { source, log, catalog, reports } = this.#options;
    const number = 1 + catalog.crashNotes.listFor(fingerprint)
      .filter(({ type }) => type === "trial").length;
    const about = { type: "trial", number } as const;
    const note = this.#makeNote({ fingerprint, server }, about);
    // Even a failed claim is not repeated until the trial's note may be known.
    this.#claims.set(fingerprint, number);
    setTimeout(() => {
      if (this.#claims.get(fingerprint) === number) {
        this.#claims.delete(fingerprint);
      }
    }, CLAIM_RETENTION_MS).unref();
    const claimed = await source.claimTrial(note);
    const isClaimed = claimed.isOk() && claimed.value;
    if (isClaimed) {
      catalog.crashNotes.add(note);
      reports.remember(note);
    }
    log.decide("Trial of a quarantined request.", {
      fingerprint,
      server: server.id,
      software: server.software,
      number,
      isClaimed,
      code: claimed.isErr() ? claimed.error.code : undefined,
    }, "quarantine");
    return isClaimed;
  }

  recordEnd(run: SentRequest, end: RunEnd): void {
    const { fingerprint } = run;
    if (end !== "answered") return;
    this.#answeredAtMs.delete(fingerprint);
    this.#answeredAtMs.set(fingerprint, performance.now());
    if (this.#answeredAtMs.size > MAX_ANSWERED) {
      const [oldest] = this.#answeredAtMs.keys();
      this.#answeredAtMs.delete(oldest!);
    }
    const { crashNotes } = this.#options.catalog;
    if (crashNotes.listFor(fingerprint).length > 0) this.#removeSuspicion(run);
  }

  #removeSuspicion({ fingerprint, server }: SentRequest): void {
    const { catalog, wallMs, reports, log } = this.#options;
    const { crashNotes } = catalog;
    const standing = computeStanding(crashNotes, fingerprint, wallMs());
    const { software = "" } = server;
    const isQuarantined = standing.type === "quarantined";
    if (isQuarantined && standing.curedSoftware.has(software)) return;
    // Servers of other versions may still be in use and still crash, so a
    // quarantined request is cured only for the version that answered.
    const notes = isQuarantined
      ? [this.#makeNote({ fingerprint, server }, {
        type: "cured",
        software,
      })]
      : [];
    const removedKeys = isQuarantined
      ? []
      : crashNotes.listFor(fingerprint).map(({ key }) => key);
    for (const note of notes) crashNotes.add(note);
    for (const key of removedKeys) crashNotes.remove(key);
    reports.report({ notes, removedKeys });
    const fields = { fingerprint, isQuarantined, server: server.id, software };
    log.decide("Request answered after crashes.", fields, "quarantine");
  }

  recordCrash({ server, fingerprints, isFirst }: ServerCrash): void {
    const { metrics, log, reports, catalog } = this.#options;
    const { id, service, bornMs, address, software } = server;
    const suspects = fingerprints.filter((name) =>
      !this.#hasRecentAnswer(name)
    );
    if (isFirst) metrics.serverCrashes.inc({ service });
    log.decide("Server ended under requests.", {
      server: id,
      service,
      bornMs,
      address,
      software,
      fingerprints,
      suspects: suspects.length,
    }, "quarantine");
    const notes = suspects.map((fingerprint) =>
      this.#makeNote({ fingerprint, server }, {
        type: "crash",
        server: id,
        bornMs,
      })
    );
    // Applied locally at once, even while the store is unreachable.
    for (const note of notes) catalog.crashNotes.add(note);
    if (notes.length > 0) reports.report({ notes, removedKeys: [] });
  }

  listExpired(): string[] {
    const { catalog, wallMs } = this.#options;
    const nowMs = wallMs();
    const { crashNotes } = catalog;
    return crashNotes.listFingerprints()
      .filter((fingerprint) => hasExpiredNotes(crashNotes, fingerprint, nowMs))
      .flatMap((fingerprint) => crashNotes.listFor(fingerprint))
      .map(({ key }) => key)
      .slice(0, MAX_EXPIRED);
  }

  countQuarantined(): number {
    const nowMs = this.#options.wallMs();
    const { crashNotes } = this.#options.catalog;
    return crashNotes.listFingerprints().filter((fingerprint) =>
      computeStanding(crashNotes, fingerprint, nowMs).type === "quarantined"
    ).length;
  }

  #makeNote(
    { fingerprint, server }: SentRequest,
    about: Parameters<typeof makeNoteKey>[1],
  ): CrashNote {
    const { instance, wallMs } = this.#options;
    const { id, service, software = "" } = server;
    return {
      key: makeNoteKey(fingerprint, about),
      type: about.type,
      fingerprint,
      service,
      server: id,
      software,
      entry: instance,
      atMs: wallMs(),
    };
  }

  #hasRecentAnswer(fingerprint: string): boolean {
    const atMs = this.#answeredAtMs.get(fingerprint) ?? -Infinity;
    return performance.now() - atMs < ANSWERED_EXEMPT_MS;
  }
}

/** Number of crashes that a log line lists. */
const MAX_DESCRIBED = 8;

function describeInputs(
  fingerprint: string,
  { crashes, trials }: QuarantinedStanding,
  nowMs: number,
): QuarantineInputs {
  return {
    fingerprint,
    crashes: crashes.slice(-MAX_DESCRIBED).map((crash) => ({
      server: crash.server,
      software: crash.software,
      entry: crash.entry,
      ageMs: Math.round(nowMs - crash.atMs),
    })),
    trials,
  };
}
