/**
 * Outgoing connections to peers, opened on demand.
 *
 * @module
 */

import { performance } from "node:perf_hooks";
import { startTimeout } from "@dotterelmoor/network.timing";
import { resolveLimits, SILENT_LOG } from "./limits.ts";
import { PeerLink } from "./link.ts";
import type { PeerMessage } from "./messages.ts";
import type {
  CallOptions,
  CallResult,
  PeerLimits,
  PeerLog,
  PeerPool,
  PeerPoolOptions,
} from "./types.ts";

/** Limit per connection that is being opened; further ones are dropped. */
const MAX_WAITING_NOTIFICATIONS = 64;

/** Number of failed addresses above which those past their backoff are removed. */
const MAX_FAILURES = 4_096;

/** Creates a pool of outgoing connections. */
export function createPeerPool(options: PeerPoolOptions): PeerPool {
  const links = new Links(options);
  return {
    call: (address, message, callOptions) =>
      sendCall(links, { address, message, options: callOptions }),
    notify: (address, message) => sendNotification(links, address, message),
    closePeer: (address) => links.closeOne(address),
    close: () => links.close(),
  };
}

interface Call {
  readonly address: string;
  readonly message: PeerMessage;
  readonly options: CallOptions;
}

async function sendCall(links: Links, call: Call): Promise<CallResult> {
  const { message, options } = call;
  const { signal, timeoutMs } = options;
  if (signal?.aborted) return { type: "cancelled", sent: false };
  const startedAt = performance.now();
  const link = links.get(call.address);
  if (link === undefined) return { type: "not_sent" };
  const isReady = await waitForReady(link, options);
  if (signal?.aborted) return { type: "cancelled", sent: false };
  const leftMs = timeoutMs - (performance.now() - startedAt);
  if (!isReady || leftMs <= 0) return { type: "not_sent" };
  return await link.call(message, { ...options, timeoutMs: leftMs });
}

async function waitForReady(
  link: PeerLink,
  options: CallOptions,
): Promise<boolean> {
  const { signal, timeoutMs } = options;
  let stop = () => {};
  const stopped = new Promise<boolean>((resolve) => {
    stop = () => resolve(false);
  });
  const timeout = startTimeout(stop, timeoutMs);
  signal?.addEventListener("abort", stop, { once: true });
  link.waiting += 1;
  try {
    return await Promise.race([link.ready, stopped]);
  } finally {
    link.waiting -= 1;
    timeout.stop();
    signal?.removeEventListener("abort", stop);
  }
}

function sendNotification(
  links: Links,
  address: string,
  message: PeerMessage,
): void {
  const link = links.get(address);
  if (link === undefined || link.waiting >= MAX_WAITING_NOTIFICATIONS) return;
  link.waiting += 1;
  link.ready.then((isReady) => {
    link.waiting -= 1;
    if (isReady) link.notify(message);
  });
}

interface Failure {
  readonly pauseMs: number;
  readonly retryAt: number;
}

/** Connections by address, and backoffs after failed attempts. */
class Links {
  readonly #options: PeerPoolOptions;
  readonly #limits: PeerLimits;
  readonly #log: PeerLog;
  /** In order of last use, oldest first. */
  readonly #links = new Map<string, PeerLink>();
  readonly #failures = new Map<string, Failure>();
  #isClosed = false;

  constructor(options: PeerPoolOptions) {
    this.#options = options;
    this.#limits = resolveLimits(options.limits);
    this.#log = options.log ?? SILENT_LOG;
  }

  /** Gets or opens a connection; undefined if none may be opened now. */
  get(address: string): PeerLink | undefined {
    const link = this.#links.get(address);
    if (link !== undefined) {
      this.#links.delete(address);
      this.#links.set(address, link);
      return link;
    }
    const failure = this.#failures.get(address);
    const mustWait = failure !== undefined &&
      performance.now() < failure.retryAt;
    if (this.#isClosed || mustWait || !this.#makeRoom()) return undefined;
    return this.#open(address);
  }

  closeOne(address: string): void {
    this.#links.get(address)?.close();
  }

  close(): void {
    this.#isClosed = true;
    for (const link of this.#links.values()) link.close();
  }

  #open(address: string): PeerLink {
    const link = new PeerLink({
      address,
      pool: this.#options,
      limits: this.#limits,
      log: this.#log,
      onClose: (wasOpen) => {
        if (this.#links.get(address) === link) this.#links.delete(address);
        if (wasOpen) this.#failures.delete(address);
        else this.#recordFailure(address);
      },
    });
    this.#links.set(address, link);
    return link;
  }

  /** At the limit, closes the least recently used idle connection. Returns
   * whether another connection may be opened. */
  #makeRoom(): boolean {
    if (this.#links.size < this.#limits.maxConnections) return true;
    for (const [address, link] of this.#links) {
      if (!link.isIdle) continue;
      this.#links.delete(address);
      link.close();
      return true;
    }
    return false;
  }

  #recordFailure(address: string): void {
    const { backoffMs, maxBackoffMs } = this.#limits;
    const last = this.#failures.get(address);
    const pauseMs = last === undefined
      ? backoffMs
      : Math.min(2 * last.pauseMs, maxBackoffMs);
    const now = performance.now();
    this.#failures.set(address, { pauseMs, retryAt: now + pauseMs });
    if (this.#failures.size <= MAX_FAILURES) return;
    for (const [other, failure] of this.#failures) {
      if (failure.retryAt < now) this.#failures.delete(other);
    }
  }
}
