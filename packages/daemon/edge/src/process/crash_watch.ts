/**
 * Tells backend servers that ended from connections that were lost.
 *
 * Pattern: a lost connection says little. Connections are reset, links are cut
 * and zones lose power, and all of these take sound requests along. Where a
 * server's process has ended, its machine refuses new connections, and no other
 * answer comes from that start of the server.
 *
 * @module
 */

import type { ServerRecord } from "@dotterelmoor/core.catalog";
import type { ListenState } from "@dotterelmoor/network.backend";

/** Time in milliseconds from a loss to the check: connections and the listener
 * of a process that ends close one after the other, and further losses are
 * gathered. Servers are away for longer than this. */
const CHECK_DELAY_MS = 50;

/** Time in milliseconds for the check; two round trips between regions. */
const CHECK_TIMEOUT_MS = 250;

/** Time in milliseconds for which an ended start is remembered: losses of its
 * other connections are read within it. */
const REMEMBERED_MS = 5_000;

/** Time in milliseconds for which a run that this entry gave up may still be
 * under way: servers are told how long they may work. */
const LINGERING_MS = 1_000;

/** What the end of a run tells of its server. */
export type RunEnd =
  /** The server ran the request and answered. */
  | "answered"
  /** The server refused to run it. */
  | "refused"
  /** The connection was lost, or the answer was cut. */
  | "lost"
  /** Its caller left, or its time was over. */
  | "given_up"
  | "unknown";

/** A request and one start of a server that it is sent to. */
export interface SentRequest {
  /** Identifies the request over its repeats. */
  readonly fingerprint: string;
  readonly server: ServerRecord;
}

/** A run of a request. */
export interface WatchedRun extends SentRequest {
  /** Monotonic time of the send. */
  readonly startedAtMs: number;
}

/** A start of a server that ended under requests of this entry. */
export interface ServerCrash {
  readonly server: ServerRecord;
  /** Requests that were lost with it. */
  readonly fingerprints: readonly string[];
  /** False for requests whose loss was read later. */
  readonly isFirst: boolean;
}

/** Options of `createCrashWatch`. */
export interface CrashWatchOptions {
  readonly checkListening: (
    address: string,
    timeoutMs: number,
  ) => Promise<ListenState>;
  /** False for a server that is leaving or removed: it ends by itself, whatever
   * it runs. */
  readonly isServing: (server: ServerRecord) => boolean;
  readonly onCrash: (crash: ServerCrash) => void;
}

/** Watches the servers that this entry sends to. */
export interface CrashWatch {
  recordEnd(run: WatchedRun, end: RunEnd): void;
}

/** Creates the watch. */
export function createCrashWatch(options: CrashWatchOptions): CrashWatch {
  return new Watch(options);
}

/** Losses of one start of a server. */
interface Losses {
  readonly server: ServerRecord;
  readonly fingerprints: Set<string>;
  /** True once the start has answered since the first loss. */
  isAlive: boolean;
  /** Monotonic time at which the server was known to have ended. */
  endedAtMs: number | undefined;
}

class Watch implements CrashWatch {
  readonly #options: CrashWatchOptions;
  readonly #losses = new Map<string, Losses>();
  /** Fingerprints of runs that were given up, by start of their server. */
  readonly #lingering = new Map<string, Set<string>>();

  constructor(options: CrashWatchOptions) {
    this.#options = options;
  }

  recordEnd(run: WatchedRun, end: RunEnd): void {
    const { server, fingerprint } = run;
    const key = `${server.id}/${server.bornMs}`;
    const losses = this.#losses.get(key);
    const isAlive = end === "answered" || end === "refused";
    if (isAlive && losses !== undefined) losses.isAlive = true;
    if (end === "given_up") this.#addLingering(key, fingerprint);
    if (end !== "lost" || !this.#options.isServing(server)) return;
    if (losses === undefined) {
      this.#startCheck(key, server, fingerprint);
    } else if (losses.endedAtMs === undefined) {
      losses.fingerprints.add(fingerprint);
    } else if (run.startedAtMs <= losses.endedAtMs) {
      const crash = { server: losses.server, fingerprints: [fingerprint] };
      this.#options.onCrash({ ...crash, isFirst: false });
    } else {
      // It is back under the same id, and its record does not tell yet. The
      // next start is another one than any that a record has told.
      const bornMs = losses.server.bornMs + 1;
      this.#startCheck(key, { ...server, bornMs }, fingerprint);
    }
  }

  #addLingering(key: string, fingerprint: string): void {
    const lingering = this.#lingering.get(key) ?? new Set();
    this.#lingering.set(key, lingering.add(fingerprint));
    setTimeout(() => {
      lingering.delete(fingerprint);
      if (lingering.size === 0) this.#lingering.delete(key);
    }, LINGERING_MS).unref();
  }

  #startCheck(key: string, server: ServerRecord, fingerprint: string): void {
    const losses: Losses = {
      server,
      fingerprints: new Set([fingerprint, ...this.#lingering.get(key) ?? []]),
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
    }, REMEMBERED_MS).unref();
  }
}
