/**
 * Detects stalls of the process, and delays work until the socket data that
 * arrived during a stall has been read.
 *
 * When a paused process resumes, its timers are due and its sockets are full at
 * the same time, and timers run first. A process that is short of processor
 * time accepts one connection per turn of its event loop, and so reads requests
 * long after they arrived, although no single turn is long. Callers that
 * disconnected, answers and changes of that time are known only after the
 * sockets have been read, so requests are not sent to servers before that.
 *
 * @module
 */

import type { DisposableStore } from "@dotterelmoor/core.types";
import { waitForSocketReads } from "@dotterelmoor/network.timing";
import { SYSTEM_CLOCKS } from "./contact_clock.ts";
import type { Clocks, Moment } from "./contact_clock.ts";

/** Interval in milliseconds of the timer that detects stalls. */
const TICK_MS = 100;

/** Least delay of a tick in milliseconds that counts as a stall; ticks of a
 * busy instance are tens of milliseconds late. */
const MIN_STALL_MS = 150;

/** Least length in milliseconds of an event loop turn after a stall, since the
 * data that arrived during the stall is delivered over several turns. */
const MIN_STALLED_TURN_MS = 5;

/** Longest time in milliseconds after a stall for which the listener's backlog
 * counts: the event loop accepts one connection at a time. */
const MAX_BACKLOG_MS = 1_000;

/** Detects stalls of the process. */
export interface StallDetector {
  /** Resolves once the socket data present at the time of the call has been
   * read: within the next few turns of the event loop, or later after a
   * stall. */
  waitForPendingReads(): Promise<void>;
  /** Total time in milliseconds for which the instance was suspended since the
   * start, which the monotonic clock does not count. */
  suspendedMs(): number;
}

/** Detects stalls and measures delays for reports. */
export interface MeasuringStallDetector extends StallDetector {
  /** Longest delay of a tick in milliseconds since the last call. */
  takeLongestDelay(): number;
}

/** A stall of the process, with its length in milliseconds. */
export interface Stall {
  readonly stalledMs: number;
  /** The part of it for which the instance was suspended. */
  readonly suspendedMs: number;
}

/** Options of `startStalls`. */
export interface StallDetectorOptions {
  readonly store: DisposableStore;
  readonly clocks?: Clocks;
  readonly onStall?: (stall: Stall) => void;
}

/** Starts detecting stalls, until the store is disposed of. */
export function startStallDetector(
  options: StallDetectorOptions,
): MeasuringStallDetector {
  const stalls = new TickStallDetector(options);
  const timer = setInterval(() => stalls.tick(), TICK_MS);
  options.store.add(() => clearInterval(timer));
  return stalls;
}

class TickStallDetector implements MeasuringStallDetector {
  readonly #clocks: Clocks;
  readonly #onStall: (stall: Stall) => void;
  #lastTick: Moment;
  #backlogReadAtMs = -Infinity;
  #suspendedMs = 0;
  #longestDelayMs = 0;

  constructor({ clocks = SYSTEM_CLOCKS, onStall }: StallDetectorOptions) {
    this.#clocks = clocks;
    this.#onStall = onStall ?? (() => {});
    this.#lastTick = this.#mark();
  }

  tick(): void {
    this.#check();
    const now = this.#mark();
    const delayMs = now.steadyMs - this.#lastTick.steadyMs - TICK_MS;
    this.#longestDelayMs = Math.max(this.#longestDelayMs, delayMs);
    this.#lastTick = now;
  }

  takeLongestDelay(): number {
    const longestMs = this.#longestDelayMs;
    this.#longestDelayMs = 0;
    return longestMs;
  }

  waitForPendingReads(): Promise<void> {
    this.#check();
    const isBacklogRead = this.#clocks.steadyMs() >= this.#backlogReadAtMs;
    return waitForSocketReads(isBacklogRead ? 0 : MIN_STALLED_TURN_MS);
  }

  suspendedMs(): number {
    this.#check();
    return this.#suspendedMs;
  }

  #mark(): Moment {
    const { steadyMs, wallMs } = this.#clocks;
    return { steadyMs: steadyMs(), wallMs: wallMs() };
  }

  #check(): void {
    const now = this.#mark();
    const steadyMs = now.steadyMs - this.#lastTick.steadyMs;
    const wallMs = now.wallMs - this.#lastTick.wallMs;
    const stalledMs = Math.max(steadyMs, wallMs) - TICK_MS;
    if (stalledMs < MIN_STALL_MS) return;
    this.#lastTick = now;
    const suspendedMs = Math.max(0, wallMs - steadyMs);
    this.#suspendedMs += suspendedMs;
    this.#longestDelayMs = Math.max(this.#longestDelayMs, stalledMs);
    this.#onStall({ stalledMs, suspendedMs });
    const backlogMs = Math.min(stalledMs, MAX_BACKLOG_MS);
    this.#backlogReadAtMs = now.steadyMs + backlogMs;
  }
}
