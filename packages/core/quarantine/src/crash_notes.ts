/**
 * Crashes of backend servers as entries noted them, by the request that was lost
 * with each.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";

/** What a note tells: that a server ended under the request, that the request is
 * tried although it is quarantined, or that it was answered then. */
export type CrashNoteType = "crash" | "cured" | "trial";

/** What one entry noted of a request; all of it can travel between entries. */
export interface CrashNote {
  /** Names the note in the store, as `makeNoteKey` gives it. */
  readonly key: string;
  readonly type: CrashNoteType;
  readonly fingerprint: string;
  readonly service: string;
  /** Server that ended, that a trial goes to, or that answered. */
  readonly server: string;
  /** Version of that server's software. */
  readonly software: string;
  /** Entry that noted it. */
  readonly entry: string;
  /** Time of day in milliseconds since 1970. */
  readonly atMs: number;
}

/** Notes that are kept, some hundred bytes each; more than that would be crashes
 * of a whole installation within minutes. */
const MAX_NOTES = 4_096;

/** Bytes of a server's or software's name in a key. */
const MAX_NAME_BYTES = 64;

/** Names a note. Entries that lost the same request with one start of a server
 * name the same crash, and of two entries that claim one trial, one succeeds. */
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

/** Takes the hash of a long name: keys have at most 200 bytes. */
function hashLongName(name: string): string {
  if (Buffer.byteLength(name) <= MAX_NAME_BYTES) return name;
  return createHash("sha256").update(name).digest("hex");
}

/** Notes by key and by fingerprint, of bounded number. */
export class CrashNotes {
  readonly #byKey = new Map<string, CrashNote>();
  readonly #byFingerprint = new Map<string, Map<string, CrashNote>>();
  /** Fingerprints of the requests that were lost with each crash. */
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

  listOf(fingerprint: string): CrashNote[] {
    return [...this.#byFingerprint.get(fingerprint)?.values() ?? []];
  }

  /** Crashes under a request, but for those at which another one was lost that
   * was lost at more: a sound request is lost with the one that crashes. */
  listAttributedCrashes(fingerprint: string): CrashNote[] {
    const crashes = this.listOf(fingerprint).filter(isCrash);
    return crashes.filter((note) => {
      const fingerprints = [...this.#byCrash.get(getCrashId(note)) ?? []];
      return !fingerprints.some((other) =>
        this.listOf(other).filter(isCrash).length > crashes.length
      );
    });
  }

  listFingerprints(): string[] {
    return [...this.#byFingerprint.keys()];
  }
}

/** Names a crash: the part of a note's key that tells the start of a server. */
function getCrashId({ key, fingerprint }: CrashNote): string {
  return key.slice(fingerprint.length);
}

function isCrash({ type }: CrashNote): boolean {
  return type === "crash";
}
