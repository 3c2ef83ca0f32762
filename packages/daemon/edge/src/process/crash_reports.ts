/**
 * Writes crash notes to the platform's store.
 *
 * Many entries lose requests with the same crashed server. Calls to the store
 * are billed, so the region's reader writes the notes of all entries of its
 * region. If it does not answer, an entry writes to the store itself, and
 * through any other entry if the store rejects that.
 *
 * @module
 */

import type { CrashNote } from "@dotterelmoor/core.quarantine";
import type { DisposableStore } from "@dotterelmoor/core.types";
import type {
  CrashNotedMessage,
  CrashReportMessage,
  PeerMessage,
} from "@dotterelmoor/network.peering";
import type { Logger } from "pino";
import type { CatalogStore, CrashNoteChanges } from "../ports.ts";

/** Time in milliseconds for which changes are batched; the losses of one crash
 * are noticed within some tens of milliseconds. */
const BATCH_DELAY_MS = 100;

/** Timeout in milliseconds for an answer of the reader. Covers its batching and
 * a write to a slow store. */
const ANSWER_TIMEOUT_MS = 800;

/** Pause in milliseconds after a failed write. */
const RETRY_DELAY_MS = 600;

/** Largest number of changes in one write; the store accepts 100. */
const MAX_BATCH_CHANGES = 90;

/** Largest number of queued changes; in a long outage of the store, the oldest
 * are dropped. */
const MAX_QUEUED_CHANGES = 1_000;

/** Time in milliseconds for which changes are written again if the store comes
 * back from an older copy, which is some seconds old. */
const RENEWED_MS = 60_000;

/** Options of `createCrashReports`. */
export interface CrashReportsOptions {
  readonly source: Pick<CatalogStore, "changeCrashNotes">;
  /** Peer address of the region's reader; undefined if this entry is the reader
   * or none is known. */
  readonly findReader: () => string | undefined;
  /** Peer address of another entry of any region: the store may reject calls of
   * this entry and accept those of the other. */
  readonly findOther: () => string | undefined;
  /** Calls a peer; undefined if it does not answer within `timeoutMs`. */
  readonly call: (
    peerAddress: string,
    message: CrashReportMessage,
    timeoutMs: number,
  ) => Promise<PeerMessage | undefined>;
  /** Keys of expired notes, which are removed along with the next write. */
  readonly listExpired: () => readonly string[];
  readonly store: DisposableStore;
  readonly log: Logger;
}

/** Queues and writes the crash notes of one entry. */
export interface CrashReports {
  /** Queues changes; they are retried until they are written. */
  report(changes: CrashNoteChanges): void;
  /** Remembers a note that was written by another way, for `renew`. */
  remember(note: CrashNote): void;
  /** Writes the latest changes of this entry again: the store has come back from
   * an older copy. Returns their number. */
  renew(): number;
  /** Writes the changes of another entry; the answer says whether they were
   * written. */
  answer(message: CrashReportMessage): Promise<CrashNotedMessage>;
}

/** Creates the reports of one entry. */
export function createCrashReports(options: CrashReportsOptions): CrashReports {
  return new Reports(options);
}

/** Latest change by note key; undefined for a removal. */
type Changes = Map<string, CrashNote | undefined>;

/** Changes that one call writes. */
interface Batch {
  readonly changes: Changes;
  readonly written: Promise<boolean>;
  readonly settle: (written: boolean) => void;
}

class Reports implements CrashReports {
  readonly #options: CrashReportsOptions;
  /** Changes of this entry, which are sent to the region's reader first. */
  readonly #queued: Changes = new Map();
  /** Latest changes of this entry with their monotonic times, oldest first. */
  readonly #latest = new Map<
    string,
    { readonly note: CrashNote | undefined; readonly atMs: number }
  >();
  #sendTimer: NodeJS.Timeout | undefined;
  /** Batch that further changes join until it is full or its write starts. */
  #batch: Batch | undefined;

  constructor(options: CrashReportsOptions) {
    this.#options = options;
    options.store.add(() => clearTimeout(this.#sendTimer));
  }

  report(changes: CrashNoteChanges): void {
    addChanges(this.#queued, changes);
    for (const note of changes.notes) this.#remember(note.key, note);
    for (const key of changes.removedKeys) this.#remember(key, undefined);
    this.#startSending(BATCH_DELAY_MS);
  }

  remember(note: CrashNote): void {
    this.#remember(note.key, note);
  }

  renew(): number {
    this.#forgetOld();
    for (const [key, { note }] of this.#latest) this.#queued.set(key, note);
    if (this.#latest.size > 0) this.#startSending(BATCH_DELAY_MS);
    return this.#latest.size;
  }

  #remember(key: string, note: CrashNote | undefined): void {
    this.#latest.delete(key);
    this.#latest.set(key, { note, atMs: performance.now() });
    this.#forgetOld();
  }

  #forgetOld(): void {
    const untilMs = performance.now() - RENEWED_MS;
    for (const [key, { atMs }] of this.#latest) {
      const isKept = atMs > untilMs && this.#latest.size <= MAX_QUEUED_CHANGES;
      if (isKept) break;
      this.#latest.delete(key);
    }
  }

  async answer(message: CrashReportMessage): Promise<CrashNotedMessage> {
    const written = await this.#write(message);
    return { type: "crash_noted", written };
  }

  #startSending(delayMs: number): void {
    this.#sendTimer ??= setTimeout(() => {
      this.#sendTimer = undefined;
      this.#send().catch((error: unknown) =>
        this.#options.log.error({ err: error }, "Failed to report crash notes.")
      );
    }, delayMs);
  }

  async #send(): Promise<void> {
    const taken = takeChanges(this.#queued);
    if (await this.#submit(taken)) {
      if (this.#queued.size > 0) this.#startSending(BATCH_DELAY_MS);
      return;
    }
    // Changes that were reported during the attempt are newer and win.
    const newer = new Map(this.#queued);
    this.#queued.clear();
    addChanges(this.#queued, taken);
    for (const [key, note] of newer) this.#queued.set(key, note);
    for (const key of this.#queued.keys()) {
      if (this.#queued.size <= MAX_QUEUED_CHANGES) break;
      this.#queued.delete(key);
    }
    this.#startSending(RETRY_DELAY_MS);
  }

  async #submit(changes: CrashNoteChanges): Promise<boolean> {
    const { findReader, findOther } = this.#options;
    return await this.#requestWrite(findReader(), changes) ||
      await this.#write(changes) ||
      await this.#requestWrite(findOther(), changes);
  }

  async #requestWrite(
    peerAddress: string | undefined,
    changes: CrashNoteChanges,
  ): Promise<boolean> {
    if (peerAddress === undefined) return false;
    const message: CrashReportMessage = { type: "crash_report", ...changes };
    const { call } = this.#options;
    const answer = await call(peerAddress, message, ANSWER_TIMEOUT_MS);
    return answer?.type === "crash_noted" && answer.written;
  }

  /** Adds changes to the batch that is written next; true once it is
   * written. */
  #write(changes: CrashNoteChanges): Promise<boolean> {
    const isFull = (this.#batch?.changes.size ?? 0) + changes.notes.length +
        changes.removedKeys.length > MAX_BATCH_CHANGES;
    if (this.#batch === undefined || isFull) this.#batch = this.#openBatch();
    addChanges(this.#batch.changes, changes);
    return this.#batch.written;
  }

  #openBatch(): Batch {
    let settle: Batch["settle"] = () => {};
    const written = new Promise<boolean>((resolve) => {
      settle = resolve;
    });
    const batch: Batch = { changes: new Map(), written, settle };
    setTimeout(() => {
      if (this.#batch === batch) this.#batch = undefined;
      this.#writeBatch(batch).then(settle, (error: unknown) => {
        this.#options.log.error({ err: error }, "Failed to write crash notes.");
        settle(false);
      });
    }, BATCH_DELAY_MS);
    return batch;
  }

  async #writeBatch({ changes }: Batch): Promise<boolean> {
    const { source, listExpired, log } = this.#options;
    for (const key of listExpired()) {
      if (changes.size >= MAX_BATCH_CHANGES) break;
      if (!changes.has(key)) changes.set(key, undefined);
    }
    const written = await source.changeCrashNotes(listChanges(changes));
    if (written.isErr()) {
      log.warn({ code: written.error.code }, "Failed to write crash notes.");
    }
    return written.isOk();
  }
}

function addChanges(
  changes: Changes,
  { notes, removedKeys }: CrashNoteChanges,
): void {
  for (const note of notes) changes.set(note.key, note);
  for (const key of removedKeys) changes.set(key, undefined);
}

function listChanges(changes: Changes): CrashNoteChanges {
  const notes = [...changes.values()].filter((note) => note !== undefined);
  const removedKeys = [...changes.keys()].filter((key) =>
    changes.get(key) === undefined
  );
  return { notes, removedKeys };
}

/** Removes and returns as many changes as one write may hold. */
function takeChanges(changes: Changes): CrashNoteChanges {
  const taken = new Map([...changes].slice(0, MAX_BATCH_CHANGES));
  for (const key of taken.keys()) changes.delete(key);
  return listChanges(taken);
}
