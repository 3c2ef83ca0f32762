/**
 * Decides from crash notes whether a request is quarantined.
 *
 * The failure to contain: a request crashes each server that starts to run it,
 * and its caller repeats it, at any entry and with a new id each time. Every
 * crash also hits harmless requests, which are repeated as well, and no entry
 * sees all crashes. A request is quarantined after three crashes without an
 * answer in between, unless another request was lost in the same crashes and in
 * more. An answer before the quarantine removes the notes of the request. After
 * an answer during the quarantine, the request is sent only to servers with the
 * software version that answered.
 *
 * @module
 */

import type { CrashNote, CrashNotes } from "./crash_notes.ts";

/**
 * Number of crashes that quarantine a request. A harmless request is in flight
 * at one crash by chance, rarely at two. The platform counts the sends after
 * the third crash.
 */
const QUARANTINING_CRASHES = 3;

/** Time in milliseconds within which these crashes must occur. */
const CRASH_WINDOW_MS = 600_000;

/**
 * Time in milliseconds from the latest note to the next trial; rolling out a
 * fixed release takes minutes.
 */
const TRIAL_PAUSE_MS = 600_000;

/**
 * Maximum number of trials of one request. The platform allows this many sends
 * after the third crash, so any further one needs an operator.
 */
const MAX_TRIALS = 3;

/** Time in milliseconds from the latest note to the end of a quarantine. */
const QUARANTINE_MS = 86_400_000;

/** Whether a request is quarantined. */
export type CrashStanding =
  | { readonly type: "clear" }
  | QuarantinedStanding;

/** A quarantined request, which is sent only in occasional trials. */
export interface QuarantinedStanding {
  readonly type: "quarantined";
  readonly crashes: readonly CrashNote[];
  readonly trials: number;
  /**
   * Earliest time of day in milliseconds of the next trial on any server;
   * `Infinity` if no trial is left.
   */
  readonly nextTrialAtMs: number;
  /** Software versions that answered it and have not crashed since. */
  readonly curedSoftware: ReadonlySet<string>;
  /**
   * Software versions that its notes name. It may be tried at once on a server
   * with another version. Undefined if no trial is left.
   */
  readonly triedSoftware: ReadonlySet<string> | undefined;
}

/**
 * Decides from the notes whether a request is quarantined; `nowMs` is the time
 * of day in milliseconds since 1970.
 */
export function computeStanding(
  allNotes: CrashNotes,
  fingerprint: string,
  nowMs: number,
): CrashStanding {
  const notes = allNotes.listFor(fingerprint);
  if (notes.length < QUARANTINING_CRASHES) return { type: "clear" };
  const crashes = allNotes.listAttributedCrashes(fingerprint)
    .sort((a, b) => a.atMs - b.atMs);
  const latestMs = findLatest(notes);
  const isQuarantined = hasQuarantiningCrashes(crashes) &&
    nowMs - latestMs < QUARANTINE_MS;
  if (!isQuarantined) return { type: "clear" };
  const trials = notes.filter(({ type }) => type === "trial").length;
  const hasTrial = trials < MAX_TRIALS;
  return {
    type: "quarantined",
    crashes,
    trials,
    curedSoftware: findCuredSoftware(notes, crashes),
    nextTrialAtMs: hasTrial ? latestMs + TRIAL_PAUSE_MS : Infinity,
    triedSoftware: hasTrial
      ? new Set(notes.map(({ software }) => software))
      : undefined,
  };
}

/** Returns true if the notes of a request have no effect any more. */
export function hasExpiredNotes(
  allNotes: CrashNotes,
  fingerprint: string,
  nowMs: number,
): boolean {
  const ageMs = nowMs - findLatest(allNotes.listFor(fingerprint));
  return ageMs >= CRASH_WINDOW_MS &&
    computeStanding(allNotes, fingerprint, nowMs).type === "clear";
}

function findLatest(notes: readonly CrashNote[]): number {
  return notes.reduce((latest, { atMs }) => Math.max(latest, atMs), -Infinity);
}

function findCuredSoftware(
  notes: readonly CrashNote[],
  crashes: readonly CrashNote[],
): ReadonlySet<string> {
  const cured = notes.filter(({ type, software, atMs }) =>
    type === "cured" &&
    !crashes.some((crash) => crash.software === software && crash.atMs > atMs)
  );
  return new Set(cured.map(({ software }) => software));
}

/** Returns true if enough of the crashes, sorted by time, are close together. */
function hasQuarantiningCrashes(crashes: readonly CrashNote[]): boolean {
  return crashes.some((crash, index) => {
    const first = crashes[index - QUARANTINING_CRASHES + 1];
    return first !== undefined && crash.atMs - first.atMs <= CRASH_WINDOW_MS;
  });
}
