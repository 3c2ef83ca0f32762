/**
 * Writes what entries noted of crashes to the platform's store, through the
 * entry that reads it for the region.
 *
 * A server that ends takes requests of many entries along. Calls to the store
 * are paid for, so one entry of the region writes for the others; where it does
 * not answer, each writes itself, and through any entry if the store turns it
 * away.
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

/** Time in milliseconds for which changes are gathered: losses of one crash are
 * read within some ten of them. */
const GATHER_MS = 100;

/** Time in milliseconds for the reading entry's answer; it gathers and writes
 * meanwhile, the latter for as long as a slow store takes. */
const ANSWER_TIMEOUT_MS = 800;

/** Pause in milliseconds after changes that could not be written. */
const RETRY_MS = 600;

/** Changes in one write: the store takes 100. */
const MAX_WRITTEN = 90;

/** Changes that wait; without the store for long, the oldest are dropped. */
const MAX_WAITING = 1_000;

/** Options of `createCrashReports`. */
export interface CrashReportsOptions {
  readonly source: Pick<CatalogStore, "changeCrashNotes">;
  /** Peer address of the entry that reads for the region; undefined if that is
   * this one, or none is known. */
  readonly findReader: () => string | undefined;
  /** Peer address of another entry, of any region: the store may turn this one
   * away and serve that. */
  readonly findOther: () => string | undefined;
  /** Calls a peer; undefined if it does not answer in time. */
  readonly call: (
    peerAddress: string,
    message: CrashReportMessage,
    timeoutMs: number,
  ) => Promise<PeerMessage | undefined>;
  /** Keys of notes that say nothing any more, to be removed with a write. */
  readonly listExpired: () => readonly string[];
  readonly store: DisposableStore;
  readonly log: Logger;
}

/** The reports of one entry. */
export interface CrashReports {
  /** Writes changes soon. */
  report(changes: CrashNoteChanges): void;
  /** Writes the changes of another entry. */
  answer(message: CrashReportMessage): Promise<CrashNotedMessage>;
}

/** Creates the reports. */
export function createCrashReports(options: CrashReportsOptions): CrashReports {
  return new Reports(options);
}

/** The latest change of each note: the note, or none if it is removed. */
type Changes = Map<string, CrashNote | undefined>;

/** Changes that are written together. */
interface Batch {
  readonly changes: Changes;
  readonly written: Promise<boolean>;
  readonly settle: (written: boolean) => void;
}

class Reports implements CrashReports {
  readonly #options: CrashReportsOptions;
  /** Own changes, which go to the reading entry first. */
  readonly #own: Changes = new Map();
  #ownTimer: NodeJS.Timeout | undefined;
  /** Changes that this entry writes to the store. */
  #batch: Batch | undefined;

  constructor(options: CrashReportsOptions) {
    this.#options = options;
    options.store.add(() => clearTimeout(this.#ownTimer));
  }

  report(changes: CrashNoteChanges): void {
    addChanges(this.#own, changes);
    this.#startSending(GATHER_MS);
  }

  async answer(message: CrashReportMessage): Promise<CrashNotedMessage> {
    const written = await this.#write(message);
    return { type: "crash_noted", written };
  }

  #startSending(delayMs: number): void {
    this.#ownTimer ??= setTimeout(() => {
      this.#ownTimer = undefined;
      this.#send().catch((error: unknown) =>
        this.#options.log.error({ err: error }, "Crashes not reported.")
      );
    }, delayMs);
  }

  async #send(): Promise<void> {
    const taken = takeChanges(this.#own);
    if (await this.#deliver(taken)) {
      if (this.#own.size > 0) this.#startSending(GATHER_MS);
      return;
    }
    // What was reported meanwhile is newer.
    const newer = new Map(this.#own);
    this.#own.clear();
    addChanges(this.#own, taken);
    for (const [key, note] of newer) this.#own.set(key, note);
    for (const key of this.#own.keys()) {
      if (this.#own.size <= MAX_WAITING) break;
      this.#own.delete(key);
    }
    this.#startSending(RETRY_MS);
  }

  async #deliver(changes: CrashNoteChanges): Promise<boolean> {
    const { findReader, findOther } = this.#options;
    return await this.#ask(findReader(), changes) ||
      await this.#write(changes) || await this.#ask(findOther(), changes);
  }

  async #ask(
    peerAddress: string | undefined,
    changes: CrashNoteChanges,
  ): Promise<boolean> {
    if (peerAddress === undefined) return false;
    const message: CrashReportMessage = { type: "crash_report", ...changes };
    const { call } = this.#options;
    const answer = await call(peerAddress, message, ANSWER_TIMEOUT_MS);
    return answer?.type === "crash_noted" && answer.written;
  }

  /** Writes to the store, with what comes within a short time. */
  #write(changes: CrashNoteChanges): Promise<boolean> {
    const isFull = (this.#batch?.changes.size ?? 0) + changes.notes.length +
        changes.removedKeys.length > MAX_WRITTEN;
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
        this.#options.log.error({ err: error }, "Crashes not written.");
        settle(false);
      });
    }, GATHER_MS);
    return batch;
  }

  async #writeBatch({ changes }: Batch): Promise<boolean> {
    const { source, listExpired, log } = this.#options;
    for (const key of listExpired()) {
      if (changes.size >= MAX_WRITTEN) break;
      if (!changes.has(key)) changes.set(key, undefined);
    }
    const written = await source.changeCrashNotes(listChanges(changes));
    if (written.isErr()) {
      log.warn({ code: written.error.code }, "Crashes not written.");
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

/** Takes the changes of one write. */
function takeChanges(changes: Changes): CrashNoteChanges {
  const taken = new Map([...changes].slice(0, MAX_WRITTEN));
  for (const key of taken.keys()) changes.delete(key);
  return listChanges(taken);
}
