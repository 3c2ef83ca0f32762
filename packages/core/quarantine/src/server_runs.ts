/**
 * Tells crashes of backend servers from lost connections.
 *
 * @module
 */

/** A run that may be the cause of a crash. */
export interface Run {
  readonly id: string;
  readonly fingerprint: string;
  readonly trial: boolean;
}

/** Runs at a server when it crashed. */
export interface InvolvedRuns {
  readonly running: readonly Run[];
  /** Runs given up shortly before; their deadline has passed. */
  readonly maybeRunning: readonly Run[];
}

interface ServerRecord {
  readonly running: Set<Run>;
  /** Runs whose connection was lost, with the time of the loss. */
  readonly lost: Map<Run, number>;
  /** Runs whose answer began and was cut, with the time of that. */
  readonly cut: Map<Run, number>;
  /** Runs given up by us that may still run, with the time of that. */
  readonly maybeRunning: Map<Run, number>;
  /** The server has answered since the first loss. */
  answered: boolean;
}

/** Time after a loss in which a refused connection proves a crash. */
const LOSS_RETENTION_MS = 5_000;

/** An answer sent before a crash may be read this much after the first loss. */
const LATE_ANSWER_TOLERANCE_MS = 100;

/** Time for which a timed-out run may still run at its server. */
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

  /** Ends a run that did not take place. */
  end(run: Run, server: string): void {
    this.#servers.get(server)?.running.delete(run);
  }

  /** Ends an answered run and tells whether every other one is lost. */
  answer(run: Run, server: string, nowMs: number): boolean {
    const record = this.#servers.get(server);
    if (record === undefined) return false;
    record.running.delete(run);
    const [firstLossMs] = record.lost.values();
    if (firstLossMs === undefined) return false;
    if (nowMs - firstLossMs > LATE_ANSWER_TOLERANCE_MS) record.answered = true;
    return record.running.size === 0 && !record.answered;
  }

  /** Ends a run that may still run, such as after a timeout. */
  abandon(run: Run, server: string, nowMs: number): void {
    const record = this.#servers.get(server);
    if (record?.running.delete(run)) record.maybeRunning.set(run, nowMs);
  }

  /** Records a lost connection and tells whether every other one is lost. */
  recordLost(run: Run, server: string, nowMs: number): boolean {
    const record = this.#servers.get(server);
    // The run is gone if its server's crash was found before.
    if (!record?.running.delete(run)) return false;
    if (record.lost.size === 0) record.answered = false;
    record.lost.set(run, nowMs);
    return record.running.size === 0 && !record.answered;
  }

  /** Records a cut answer, which proves a crash only with a refusal after it. */
  cut(run: Run, server: string, nowMs: number): void {
    const record = this.#servers.get(server);
    if (record?.running.delete(run)) record.cut.set(run, nowMs);
  }

  /** Whether a refused connection now proves a crash. */
  hasLosses(server: string): boolean {
    const record = this.#servers.get(server);
    return record !== undefined && record.lost.size + record.cut.size > 0;
  }

  /** Takes the runs that a crash involves. */
  takeInvolvedRuns(server: string): InvolvedRuns {
    const record = this.#servers.get(server);
    this.#servers.delete(server);
    if (record === undefined) return { running: [], maybeRunning: [] };
    return {
      running: [...record.running, ...record.lost.keys(), ...record.cut.keys()],
      maybeRunning: [...record.maybeRunning.keys()],
    };
  }

  /** Forgets losses that no refused connection has followed. */
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
