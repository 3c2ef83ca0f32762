/**
 * Lets the process read its sockets before it acts, and tells when it has just
 * stood still.
 *
 * Pattern: a process that was paused finds its timers due and its sockets full
 * at once, and timers come first. One that is short of processor time takes a
 * connection from the listener's queue in each turn of its event loop, and so
 * reads requests long after they came, although no turn is long. Callers that
 * left, answers and changes of that time are known only after the sockets were
 * read, so what would be sent to servers waits until then.
 *
 * @module
 */

import type { DisposableStore } from "@dotterelmoor/core.types";
import { waitForReads } from "@dotterelmoor/network.timing";
import { SYSTEM_CLOCKS } from "./contact_clock.ts";
import type { Clocks, Moment } from "./contact_clock.ts";

/** Interval in milliseconds at which the event loop is known to turn. */
const TICK_MS = 100;

/** Delay of a tick in milliseconds that counts as a stall; ticks of a busy
 * instance are some ten milliseconds late. */
const STALL_MS = 150;

/** Least length of a turn of the event loop in milliseconds after a stall, as
 * what arrived meanwhile is delivered over several turns. */
const STALLED_TURN_MS = 5;

/** Longest time in milliseconds after a stall in which callers are still
 * accepted that came during it: the loop accepts one at a time. */
const LONGEST_BACKLOG_MS = 1_000;

/** Stalls of one process. */
export interface Stalls {
  /** Resolves once what is in the sockets at the time of the call has been
   * read; at the next turns of the event loop unless it has just stood still. */
  settle(): Promise<void>;
  /** Time in milliseconds, since the start, that the monotonic clock missed
   * because the instance was suspended. */
  suspendedMs(): number;
}

/** Stalls of one process, with what reports tell of them. */
export interface MeasuredStalls extends Stalls {
  /** Longest delay of a tick in milliseconds since the last call. */
  takeLongestDelay(): number;
}

/** A time for which the process stood still. */
export interface Stall {
  readonly stalledMs: number;
  /** The part of it for which the instance was suspended. */
  readonly suspendedMs: number;
}

/** Options of `startStalls`. */
export interface StallsOptions {
  readonly store: DisposableStore;
  readonly clocks?: Clocks;
  readonly onStall?: (stall: Stall) => void;
}

/** Starts to look for stalls. */
export function startStalls(options: StallsOptions): MeasuredStalls {
  const stalls = new TickedStalls(options);
  const timer = setInterval(() => stalls.tick(), TICK_MS);
  options.store.add(() => clearInterval(timer));
  return stalls;
}

class TickedStalls implements MeasuredStalls {
  readonly #clocks: Clocks;
  readonly #onStall: (stall: Stall) => void;
  #ticked: Moment;
  #settledAtMs = -Infinity;
  #suspendedMs = 0;
  #longestDelayMs = 0;

  constructor({ clocks = SYSTEM_CLOCKS, onStall }: StallsOptions) {
    this.#clocks = clocks;
    this.#onStall = onStall ?? (() => {});
    this.#ticked = this.#mark();
  }

  tick(): void {
    this.#check();
    const now = this.#mark();
    const delayMs = now.steadyMs - this.#ticked.steadyMs - TICK_MS;
    this.#longestDelayMs = Math.max(this.#longestDelayMs, delayMs);
    this.#ticked = now;
  }

  takeLongestDelay(): number {
    const longestMs = this.#longestDelayMs;
    this.#longestDelayMs = 0;
    return longestMs;
  }

  settle(): Promise<void> {
    this.#check();
    const isSettled = this.#clocks.steadyMs() >= this.#settledAtMs;
    return waitForReads(isSettled ? 0 : STALLED_TURN_MS);
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
    const steadyMs = now.steadyMs - this.#ticked.steadyMs;
    const wallMs = now.wallMs - this.#ticked.wallMs;
    const stalledMs = Math.max(steadyMs, wallMs) - TICK_MS;
    if (stalledMs < STALL_MS) return;
    this.#ticked = now;
    const suspendedMs = Math.max(0, wallMs - steadyMs);
    this.#suspendedMs += suspendedMs;
    this.#longestDelayMs = Math.max(this.#longestDelayMs, stalledMs);
    this.#onStall({ stalledMs, suspendedMs });
    const backlogMs = Math.min(stalledMs, LONGEST_BACKLOG_MS);
    this.#settledAtMs = now.steadyMs + backlogMs;
  }
}
