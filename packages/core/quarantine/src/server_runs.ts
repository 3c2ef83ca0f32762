/**
 * Distinguishes crashes of backend servers from lost connections.
 *
 * @module
 */

/** A run of a request, which may cause a crash. */
export interface Run {
  readonly id: string;
  readonly fingerprint: string;
  readonly trial: boolean;
}

/** Runs that were on a server when it crashed. */
export interface InvolvedRuns {
  readonly running: readonly Run[];
  /** Runs abandoned shortly before the crash, for example after a timeout. */
  readonly maybeRunning: readonly Run[];
}

interface ServerRecord {
  readonly running: Set<Run>;
  /** Runs whose connection was lost, with the time of the loss. */
  readonly lost: Map<Run, number>;
  /** Runs whose answer was truncated, with the time of the truncation. */
  readonly cut: Map<Run, number>;
  /** Abandoned runs that may still run, with the time of the abandonment. */
  readonly maybeRunning: Map<Run, number>;
  /** True if the server has answered since the first loss. */
  answered: boolean;
}

/** Time after a loss within which a refused connection proves a crash. */
const LOSS_RETENTION_MS = 5_000;

/** An answer sent before a crash may be read this long after the first loss. */
const LATE_ANSWER_TOLERANCE_MS = 100;

/** Time for which an abandoned run is assumed to still run at its server. */
const ABANDONED_RETENTION_MS = 1_000;

/** Runs at each backend server. */
export class ServerRuns {
  readonly #servers = new Map<string, ServerRecord>();

  start(run: Run, server: string): void {
    let record = this.#servers.get(server);
    if (record === undefined) {
      record = {
        running: new Set(),
        lost: new Map(),
        cut: new Map(),
        maybeRunning: new Map(),
        answered: false,
      };
      this.#servers.set(server, record);
    }
    record.running.add(run);
  }

  /** Removes a run that the server did not execute. */
  end(run: Run, server: string): void {
    this.#servers.get(server)?.running.delete(run);
  }

  /**
   * Removes an answered run. Returns true if the server has crashed: it has lost
   * runs, no other run is left, and it has not answered since the first loss.
   */
  answer(run: Run, server: string, nowMs: number): boolean {
    const record = this.#servers.get(server);
    if (record === undefined) return false;
    record.running.delete(run);
    const [firstLossMs] = record.lost.values();
    if (firstLossMs === undefined) return false;
    if (nowMs - firstLossMs > LATE_ANSWER_TOLERANCE_MS) record.answered = true;
    return record.running.size === 0 && !record.answered;
  }

  /** Removes a run that may go on at the server, for example after a timeout. */
  abandon(run: Run, server: string, nowMs: number): void {
    const record = this.#servers.get(server);
    if (record?.running.delete(run)) record.maybeRunning.set(run, nowMs);
  }

  /**
   * Records a lost connection. Returns true if the server has crashed: no other
   * run is left, and it has not answered since the first loss.
   */
  recordLost(run: Run, server: string, nowMs: number): boolean {
    const record = this.#servers.get(server);
    // The run is already removed if the crash of its server was detected before.
    if (!record?.running.delete(run)) return false;
    if (record.lost.size === 0) record.answered = false;
    record.lost.set(run, nowMs);
    return record.running.size === 0 && !record.answered;
  }

  /**
   * Records a truncated answer, which proves a crash only if a refused
   * connection follows.
   */
  cut(run: Run, server: string, nowMs: number): void {
    const record = this.#servers.get(server);
    if (record?.running.delete(run)) record.cut.set(run, nowMs);
  }

  /** Returns true if a refused connection proves a crash now. */
  hasLosses(server: string): boolean {
    const record = this.#servers.get(server);
    return record !== undefined && record.lost.size + record.cut.size > 0;
  }

  /** Removes and returns the runs that a crash of the server affects. */
  takeInvolvedRuns(server: string): InvolvedRuns {
    const record = this.#servers.get(server);
    this.#servers.delete(server);
    if (record === undefined) return { running: [], maybeRunning: [] };
    return {
      running: [...record.running, ...record.lost.keys(), ...record.cut.keys()],
      maybeRunning: [...record.maybeRunning.keys()],
    };
  }

  /** Removes losses, truncations and abandoned runs that are too old. */
  expire(nowMs: number): void {
    for (const [server, record] of this.#servers) {
      const { running, lost, cut, maybeRunning } = record;
      removeOlderThan(lost, nowMs - LOSS_RETENTION_MS);
      removeOlderThan(cut, nowMs - LOSS_RETENTION_MS);
      removeOlderThan(maybeRunning, nowMs - ABANDONED_RETENTION_MS);
      if (running.size + lost.size + cut.size + maybeRunning.size === 0) {
        this.#servers.delete(server);
      }
    }
  }
}

function removeOlderThan(runs: Map<Run, number>, timeMs: number): void {
  for (const [run, atMs] of runs) if (atMs < timeMs) runs.delete(run);
}
