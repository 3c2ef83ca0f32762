/**
 * Notes that entries record about requests that were in flight on a backend
 * server when it crashed.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";

/**
 * Type of a note: the server crashed while it ran the request, the quarantined
 * request was answered, or it is tried once more.
 */
export type CrashNoteType = "crash" | "cured" | "trial";

/** A note of one entry about a request; plain data that entries exchange. */
export interface CrashNote {
  /** Key of the note in the store, as returned by `makeNoteKey`. */
  readonly key: string;
  readonly type: CrashNoteType;
  readonly fingerprint: string;
  readonly service: string;
  /** Server that crashed, that the trial is sent to, or that answered. */
  readonly server: string;
  /** Version of that server's software. */
  readonly software: string;
  /** Entry that recorded the note. */
  readonly entry: string;
  /** Time of day in milliseconds since 1970. */
  readonly atMs: number;
}

/**
 * A note takes some hundred bytes. Only crashes of a whole installation within
 * minutes would exceed this limit.
 */
const MAX_NOTES = 4_096;

/** Maximum bytes of a server's or software's name in a key. */
const MAX_NAME_BYTES = 64;

/**
 * Builds the key of a note. Entries that lose the same request when the same
 * start of a server crashes build the same key, so the crash counts once. For
 * the same reason only one of several entries that claim a trial succeeds.
 */
export function makeNoteKey(
  fingerprint: string,
  subject:
    | {
      readonly type: "crash";
      readonly server: string;
      readonly bornMs: number;
    }
    | { readonly type: "cured"; readonly software: string }
    | { readonly type: "trial"; readonly number: number },
): string {
  const build = KEY_BUILDERS[subject.type] as (subject: object) => string;
  return `${fingerprint}/${build(subject)}`;
}

const KEY_BUILDERS: {
  readonly [Type in CrashNoteType]: (
    subject: Extract<Parameters<typeof makeNoteKey>[1], { type: Type }>,
  ) => string;
} = {
  crash: ({ server, bornMs }) => `${hashLongName(server)}/${bornMs}`,
  cured: ({ software }) => `cured/${hashLongName(software)}`,
  trial: ({ number }) => `trial/${number}`,
};

/** Replaces a long name by its hash; the store limits keys to 200 bytes. */
function hashLongName(name: string): string {
  if (Buffer.byteLength(name) <= MAX_NAME_BYTES) return name;
  return createHash("sha256").update(name).digest("hex");
}

/** Notes indexed by key, fingerprint and crash; the oldest ones are evicted. */
export class CrashNotes {
  readonly #byKey = new Map<string, CrashNote>();
  readonly #byFingerprint = new Map<string, Map<string, CrashNote>>();
  /** Fingerprints of the requests that were lost in each crash. */
  readonly #byCrash = new Map<string, Set<string>>();

  get size(): number {
    return this.#byKey.size;
  }

  add(note: CrashNote): void {
    this.remove(note.key);
    this.#byKey.set(note.key, note);
    const notes = this.#byFingerprint.get(note.fingerprint) ?? new Map();
    this.#byFingerprint.set(note.fingerprint, notes.set(note.key, note));
    const crash = getCrashId(note);
    const fingerprints = this.#byCrash.get(crash) ?? new Set();
    this.#byCrash.set(crash, fingerprints.add(note.fingerprint));
    if (this.#byKey.size <= MAX_NOTES) return;
    const [oldest] = this.#byKey.keys();
    this.remove(oldest!);
  }

  remove(key: string): void {
    const note = this.#byKey.get(key);
    if (note === undefined) return;
    this.#byKey.delete(key);
    const notes = this.#byFingerprint.get(note.fingerprint);
    notes?.delete(key);
    if (notes?.size === 0) this.#byFingerprint.delete(note.fingerprint);
    const fingerprints = this.#byCrash.get(getCrashId(note));
    fingerprints?.delete(note.fingerprint);
    if (fingerprints?.size === 0) this.#byCrash.delete(getCrashId(note));
  }

  listAll(): CrashNote[] {
    return [...this.#byKey.values()];
  }

  /** Lists the notes of a fingerprint. */
  listFor(fingerprint: string): CrashNote[] {
    return [...this.#byFingerprint.get(fingerprint)?.values() ?? []];
  }

  /**
   * Lists the crashes that a request may have caused. A crash is left out if
   * another request was lost in it that was lost in more crashes in all: a
   * harmless request gets lost together with the one that causes the crash.
   */
  listAttributedCrashes(fingerprint: string): CrashNote[] {
    const crashes = this.listFor(fingerprint).filter(isCrash);
    return crashes.filter((note) => {
      const fingerprints = [...this.#byCrash.get(getCrashId(note)) ?? []];
      return !fingerprints.some((other) =>
        this.listFor(other).filter(isCrash).length > crashes.length
      );
    });
  }

  listFingerprints(): string[] {
    return [...this.#byFingerprint.keys()];
  }
}

/**
 * Returns the part of a note's key after the fingerprint. For a crash, it
 * identifies the server and its start.
 */
function getCrashId({ key, fingerprint }: CrashNote): string {
  return key.slice(fingerprint.length);
}

function isCrash({ type }: CrashNote): boolean {
  return type === "crash";
}
