/**
 * Index of the requests that wait for a run, are queued, or run.
 *
 * @module
 */

import type { Run } from "./server_runs.ts";

/** A request in the quarantine, and its state. */
export interface Admission {
  readonly id: string;
  readonly fingerprint: string;
  state: "waiting" | "queued" | "running";
  /** Current run; a request that was recalled gets a new one. */
  run: Run | undefined;
  server: string | undefined;
}

/** Admissions indexed by request id and by fingerprint. */
export class Admissions {
  readonly #byId = new Map<string, Admission>();
  readonly #byFingerprint = new Map<string, Set<Admission>>();
  #waiting = 0;

  /** Number of requests that wait for a run. */
  get waiting(): number {
    return this.#waiting;
  }

  get(id: string): Admission | undefined {
    return this.#byId.get(id);
  }

  /** Lists the admissions of a fingerprint in order of arrival. */
  listByFingerprint(fingerprint: string): Admission[] {
    return [...this.#byFingerprint.get(fingerprint) ?? []];
  }

  /** Returns true if a request with the fingerprint is queued or running. */
  isActive(fingerprint: string): boolean {
    const admissions = this.#byFingerprint.get(fingerprint);
    if (admissions === undefined) return false;
    for (const { state } of admissions) if (state !== "waiting") return true;
    return false;
  }

  add(id: string, fingerprint: string): Admission {
    const admission: Admission = {
      id,
      fingerprint,
      state: "waiting",
      run: undefined,
      server: undefined,
    };
    this.#waiting += 1;
    this.#byId.set(id, admission);
    const copies = this.#byFingerprint.get(fingerprint) ?? new Set();
    this.#byFingerprint.set(fingerprint, copies.add(admission));
    return admission;
  }

  setState(admission: Admission, state: Admission["state"]): void {
    if (admission.state === "waiting") this.#waiting -= 1;
    if (state === "waiting") this.#waiting += 1;
    admission.state = state;
  }

  remove(admission: Admission): void {
    if (admission.state === "waiting") this.#waiting -= 1;
    this.#byId.delete(admission.id);
    const copies = this.#byFingerprint.get(admission.fingerprint);
    copies?.delete(admission);
    if (copies?.size === 0) this.#byFingerprint.delete(admission.fingerprint);
  }
}
