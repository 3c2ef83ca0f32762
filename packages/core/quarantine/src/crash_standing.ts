/**
 * What the crashes that entries noted say of a request.
 *
 * Pattern: a request ends each server that begins to run it, and its caller
 * repeats it, at any entry, with another id each time. Every crash takes sound
 * requests along, which are repeated as well, and no entry sees all crashes. A
 * request that was lost with three starts of servers, and was answered by none
 * in between, is quarantined, unless another one was lost with the same starts
 * and with more. An answer removes the notes of a request before that; after it,
 * the request is sent to the version of the software that answered, and to no
 * other one.
 *
 * @module
 */

import type { CrashNote, CrashNotes } from "./crash_notes.ts";

/** Crashes that quarantine a request. A sound one is under way at one crash by
 * chance, and rarely at two; the platform counts sends after the third. */
const QUARANTINING_CRASHES = 3;

/** Time in milliseconds within which these crashes lie. */
const CRASH_WINDOW_MS = 600_000;

/** Time in milliseconds from the latest crash or trial to the next trial: a
 * fixed release takes minutes to be everywhere. */
const TRIAL_PAUSE_MS = 600_000;

/** Trials of one request; the platform allows as many sends after the third
 * crash, so that a later one needs an operator. */
const MAX_TRIALS = 3;

/** Time in milliseconds after the latest note for which a quarantine holds. */
const QUARANTINE_MS = 86_400_000;

/** What holds for a request. */
export type CrashStanding =
  | { readonly type: "clear" }
  | QuarantinedStanding;

/** A request that is not sent, but for a trial now and then. */
export interface QuarantinedStanding {
  readonly type: "quarantined";
  readonly crashes: readonly CrashNote[];
  readonly trials: number;
  /** Time of day of the next trial on any server; never is `Infinity`. */
  readonly nextTrialAtMs: number;
  /** Versions of the software that answered it, and did not end since. */
  readonly curedSoftware: ReadonlySet<string>;
  /** Versions of the software that it was tried on; a server of another one may
   * be tried at once. Undefined if no trial is left. */
  readonly triedSoftware: ReadonlySet<string> | undefined;
}

/** Computes what holds for a request by its notes at a time of day in milliseconds. */
export function computeStanding(
  allNotes: CrashNotes,
  fingerprint: string,
  nowMs: number,
): CrashStanding {
  const notes = allNotes.listOf(fingerprint);
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

/** True if the notes of a request say nothing any more. */
export function hasExpired(
  allNotes: CrashNotes,
  fingerprint: string,
  nowMs: number,
): boolean {
  const ageMs = nowMs - findLatest(allNotes.listOf(fingerprint));
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

/** Whether enough crashes, in the order of their times, lie close together. */
function hasQuarantiningCrashes(crashes: readonly CrashNote[]): boolean {
  return crashes.some((crash, index) => {
    const first = crashes[index - QUARANTINING_CRASHES + 1];
    return first !== undefined && crash.atMs - first.atMs <= CRASH_WINDOW_MS;
  });
}
