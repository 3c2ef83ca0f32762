/**
 * Distinguishes crashed backend servers from lost connections.
 *
 * A lost connection alone does not prove a crash: connections are reset, links
 * fail and zones lose power, and harmless requests are lost each time. If the
 * server's process has ended, its machine refuses new connections, and no
 * further answer comes from that start of the server.
 *
 * @module
 */

import type { ServerRecord } from "@dotterelmoor/core.catalog";
import type { ListenState } from "@dotterelmoor/network.backend";

/** Delay in milliseconds between a loss and the check: the connections and the
 * listener of an ending process close one after the other, and further losses
 * are collected. A restarting server is down for longer than this. */
const CHECK_DELAY_MS = 50;

/** Timeout of the check in milliseconds: two round trips between regions. */
const CHECK_TIMEOUT_MS = 250;

/** Time in milliseconds for which a crashed start of a server is remembered;
 * the losses of its other connections are noticed within it. */
const CRASH_RETENTION_MS = 5_000;

/** Time in milliseconds for which an abandoned run may continue on its server;
 * servers receive a deadline with each request. */
const ABANDONED_RUN_MS = 1_000;

/** How a run ended, as far as it concerns the health of its server. */
export type RunEnd =
  /** The server ran the request and answered. */
  | "answered"
  /** The server refused to run the request. */
  | "refused"
  /** The connection was lost or the answer was truncated. */
  | "lost"
  /** The caller disconnected or the deadline passed. */
  | "given_up"
  | "unknown";

/** A request and the start of a server that it is sent to. */
export interface SentRequest {
  /** Identifies the request across its caller's retries. */
  readonly fingerprint: string;
  readonly server: ServerRecord;
}

/** A run of a request on a server. */
export interface WatchedRun extends SentRequest {
  /** Monotonic time of the send. */
  readonly startedAtMs: number;
}

/** A start of a server that crashed while it ran requests of this entry. */
export interface ServerCrash {
  readonly server: ServerRecord;
  /** Fingerprints of the requests that were lost with it. */
  readonly fingerprints: readonly string[];
  /** False for a further report of the same crash, with a request whose loss
   * was noticed after the check. */
  readonly isFirst: boolean;
}

/** Options of `createCrashWatch`. */
export interface CrashWatchOptions {
  /** Checks whether an address accepts connections. */
  readonly checkListening: (
    address: string,
    timeoutMs: number,
  ) => Promise<ListenState>;
  /** False for a server that is leaving or removed, which ends regardless of
   * the requests that it runs. */
  readonly isServing: (server: ServerRecord) => boolean;
  readonly onCrash: (crash: ServerCrash) => void;
}

/** Watches the servers that this entry sends to for crashes. */
export interface CrashWatch {
  /** Records how a run ended; a loss starts a check of its server. */
  recordEnd(run: WatchedRun, end: RunEnd): void;
}

/** Creates the watch of one entry. */
export function createCrashWatch(options: CrashWatchOptions): CrashWatch {
  return new Watch(options);
}

/** Requests that were lost with one start of a server. */
interface Losses {
  readonly server: ServerRecord;
  readonly fingerprints: Set<string>;
  /** True once the server has answered a request since the first loss. */
  isAlive: boolean;
  /** Monotonic time at which the crash was detected. */
  endedAtMs: number | undefined;
}

class Watch implements CrashWatch {
  readonly #options: CrashWatchOptions;
  readonly #losses = new Map<string, Losses>();
  /** Fingerprints of abandoned runs that may continue, by start of a server. */
  readonly #abandoned = new Map<string, Set<string>>();

  constructor(options: CrashWatchOptions) {
    this.#options = options;
  }

  recordEnd(run: WatchedRun, end: RunEnd): void {
    const { server, fingerprint } = run;
    const key = `${server.id}/${server.bornMs}`;
    const losses = this.#losses.get(key);
    const isAlive = end === "answered" || end === "refused";
    if (isAlive && losses !== undefined) losses.isAlive = true;
    if (end === "given_up") this.#addAbandoned(key, fingerprint);
    if (end !== "lost" || !this.#options.isServing(server)) return;
    if (losses === undefined) {
      this.#startCheck(key, server, fingerprint);
    } else if (losses.endedAtMs === undefined) {
      losses.fingerprints.add(fingerprint);
    } else if (run.startedAtMs <= losses.endedAtMs) {
      const crash = { server: losses.server, fingerprints: [fingerprint] };
      this.#options.onCrash({ ...crash, isFirst: false });
    } else {
      // The server restarted under the same id, and its record is not updated
      // yet. The placeholder differs from the start time of any known record.
      const bornMs = losses.server.bornMs + 1;
      this.#startCheck(key, { ...server, bornMs }, fingerprint);
    }
  }

  #addAbandoned(key: string, fingerprint: string): void {
    const abandoned = this.#abandoned.get(key) ?? new Set();
    this.#abandoned.set(key, abandoned.add(fingerprint));
    setTimeout(() => {
      abandoned.delete(fingerprint);
      if (abandoned.size === 0) this.#abandoned.delete(key);
    }, ABANDONED_RUN_MS).unref();
  }

  #startCheck(key: string, server: ServerRecord, fingerprint: string): void {
    const losses: Losses = {
      server,
      fingerprints: new Set([fingerprint, ...this.#abandoned.get(key) ?? []]),
      isAlive: false,
      endedAtMs: undefined,
    };
    this.#losses.set(key, losses);
    setTimeout(() => void this.#check(key, losses), CHECK_DELAY_MS).unref();
  }

  async #check(key: string, losses: Losses): Promise<void> {
    const { checkListening, onCrash } = this.#options;
    const { server, fingerprints } = losses;
    const state = losses.isAlive
      ? "accepts"
      : await checkListening(server.address, CHECK_TIMEOUT_MS);
    if (state !== "refuses" || losses.isAlive) {
      this.#losses.delete(key);
      return;
    }
    losses.endedAtMs = performance.now();
    onCrash({ server, fingerprints: [...fingerprints], isFirst: true });
    setTimeout(() => {
      if (this.#losses.get(key) === losses) this.#losses.delete(key);
    }, CRASH_RETENTION_MS).unref();
  }
}
