/**
 * Keeps requests that crash servers away from them.
 *
 * All entries judge by the same notes, which the platform's store keeps and the
 * catalog spreads, and by their own ones from the moment of a crash on.
 *
 * @module
 */

import type { Catalog } from "@dotterelmoor/core.catalog";
import {
  computeStanding,
  hasExpired,
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

/** Time in milliseconds for which a request that was answered is no suspect. One
 * that comes so often is under way at many crashes by chance, and its answers
 * are known to other entries only a second later. */
const PROVEN_MS = 5_000;

/** Answered requests that are remembered. */
const MAX_PROVEN = 2_000;

/** Time in milliseconds from the first request that could be sent in which what
 * the store keeps is waited for. It is read with the configuration, and some
 * calls may fail. */
const RESTORE_MS = 3_000;

/** Longest time in milliseconds after which a caller may return. */
const LONGEST_RETRY_MS = 600_000;

/** Time in milliseconds after a claim of a trial by which its note is known, if
 * any entry wrote it. */
const CLAIMED_MS = 5_000;

/** Keys of expired notes that one write removes. */
const MAX_EXPIRED = 20;

/** Why a request is not sent; for logs. */
export interface QuarantineInputs {
  readonly fingerprint: string;
  /** The latest crashes, with the entries that noted them. */
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
    /** Versions of the software that may get it; undefined for all. */
    readonly software: ReadonlySet<string> | undefined;
  }
  | {
    readonly type: "refuse";
    readonly retryAfterMs: number;
    readonly inputs: QuarantineInputs;
  }
  /** It may be tried once, by the entry that claims it, on a server of which the
   * software is not one of these. */
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
  readonly reports: CrashReports;
  readonly metrics: EdgeMetrics;
  readonly log: EdgeLog;
  /** Time of day in milliseconds since 1970. */
  readonly wallMs: () => number;
}

/** The quarantine of one entry. */
export interface CrashQuarantine {
  /** False while what the store keeps from before the start is not known. */
  readonly isRestored: boolean;
  /** Judges a request. The software of the servers that could run it is asked
   * for only if the request is quarantined. */
  check(
    fingerprint: string,
    listSoftware: () => readonly string[],
  ): QuarantineVerdict;
  /** Claims a trial for this entry; false if it is not to be sent. */
  claimTrial(run: SentRequest): Promise<boolean>;
  /** Takes what the end of a run tells of its request. */
  recordEnd(run: SentRequest, end: RunEnd): void;
  /** Notes a crash under requests. */
  recordCrash(crash: ServerCrash): void;
  /** Keys of notes that say nothing any more. */
  listExpired(): string[];
  /** Requests that are quarantined. */
  countQuarantined(): number;
}

/** Creates the quarantine. */
export function createCrashQuarantine(
  options: CrashQuarantineOptions,
): CrashQuarantine {
  return new Quarantine(options);
}

const ADMIT: QuarantineVerdict = { type: "admit", software: undefined };

class Quarantine implements CrashQuarantine {
  readonly #options: CrashQuarantineOptions;
  /** Monotonic time at which it was first asked for. */
  #askedAtMs: number | undefined;
  /** Monotonic times of answers by fingerprint, the oldest ones first. */
  readonly #proven = new Map<string, number>();
  /** The latest trials that were claimed here, by fingerprint. */
  readonly #claims = new Map<string, number>();

  constructor(options: CrashQuarantineOptions) {
    this.#options = options;
  }

  get isRestored(): boolean {
    if (this.#options.catalog.position.crashes > 0) return true;
    this.#askedAtMs ??= performance.now();
    return performance.now() - this.#askedAtMs > RESTORE_MS;
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
    const inputs = describe(fingerprint, standing, nowMs);
    const isClaimed = this.#claims.get(fingerprint) === standing.trials + 1;
    if (triedSoftware !== undefined && !isClaimed) {
      const isDue = nowMs >= nextTrialAtMs;
      if (isDue) return { type: "trial", triedSoftware: new Set(), inputs };
      const isNew = software.some((name) => !triedSoftware.has(name));
      if (isNew) return { type: "trial", triedSoftware, inputs };
    }
    const retryAfterMs = Math.min(LONGEST_RETRY_MS, nextTrialAtMs - nowMs);
    return { type: "refuse", retryAfterMs, inputs };
  }

  async claimTrial({ fingerprint, server }: SentRequest): Promise<boolean> {
    const { source, log, catalog } = this.#options;
    const number = 1 + catalog.crashNotes.listOf(fingerprint)
      .filter(({ type }) => type === "trial").length;
    const about = { type: "trial", number } as const;
    const note = this.#makeNote({ fingerprint, server }, about);
    // Whatever comes of it, it is not claimed again until its note is known.
    this.#claims.set(fingerprint, number);
    setTimeout(() => {
      if (this.#claims.get(fingerprint) === number) {
        this.#claims.delete(fingerprint);
      }
    }, CLAIMED_MS).unref();
    const claimed = await source.claimTrial(note);
    const isClaimed = claimed.isOk() && claimed.value;
    if (isClaimed) catalog.crashNotes.add(note);
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
    this.#proven.delete(fingerprint);
    this.#proven.set(fingerprint, performance.now());
    if (this.#proven.size > MAX_PROVEN) {
      const [oldest] = this.#proven.keys();
      this.#proven.delete(oldest!);
    }
    const { crashNotes } = this.#options.catalog;
    if (crashNotes.listOf(fingerprint).length > 0) this.#clear(run);
  }

  #clear({ fingerprint, server }: SentRequest): void {
    const { catalog, wallMs, reports, log } = this.#options;
    const { crashNotes } = catalog;
    const standing = computeStanding(crashNotes, fingerprint, wallMs());
    const { software = "" } = server;
    const isQuarantined = standing.type === "quarantined";
    if (isQuarantined && standing.curedSoftware.has(software)) return;
    // Servers of another version may still be in use.
    const notes = isQuarantined
      ? [this.#makeNote({ fingerprint, server }, {
        type: "cured",
        software,
      })]
      : [];
    const removedKeys = isQuarantined
      ? []
      : crashNotes.listOf(fingerprint).map(({ key }) => key);
    for (const note of notes) crashNotes.add(note);
    for (const key of removedKeys) crashNotes.remove(key);
    reports.report({ notes, removedKeys });
    const fields = { fingerprint, isQuarantined, server: server.id, software };
    log.decide("Request answered after crashes.", fields, "quarantine");
  }

  recordCrash({ server, fingerprints, isFirst }: ServerCrash): void {
    const { metrics, log, reports, catalog } = this.#options;
    const { id, service, bornMs, address, software } = server;
    const suspects = fingerprints.filter((name) => !this.#isProven(name));
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
    // It counts here at once, also while the store is away.
    for (const note of notes) catalog.crashNotes.add(note);
    if (notes.length > 0) reports.report({ notes, removedKeys: [] });
  }

  listExpired(): string[] {
    const { catalog, wallMs } = this.#options;
    const nowMs = wallMs();
    const { crashNotes } = catalog;
    return crashNotes.listFingerprints()
      .filter((fingerprint) => hasExpired(crashNotes, fingerprint, nowMs))
      .flatMap((fingerprint) => crashNotes.listOf(fingerprint))
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

  #isProven(fingerprint: string): boolean {
    const atMs = this.#proven.get(fingerprint) ?? -Infinity;
    return performance.now() - atMs < PROVEN_MS;
  }
}

/** Crashes that a log line names. */
const MAX_DESCRIBED = 8;

function describe(
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
