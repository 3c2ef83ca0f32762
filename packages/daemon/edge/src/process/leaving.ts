/**
 * Shuts an entry down gracefully.
 *
 * @module
 */

import type { Server } from "node:http";
import type { Front } from "../request/front.ts";
import { wait } from "./intervals.ts";
import type { Peers } from "./peers.ts";

/** Interval in milliseconds between checks for requests in flight. */
const CHECK_MS = 50;

/** Longest time in milliseconds for the last answers to reach the sockets. */
const LAST_ANSWERS_MS = 100;

/** Options of `leave`. */
export interface GracefulStopOptions {
  /** Grace period in milliseconds, after which the process is killed. */
  readonly graceMs: number;
  readonly front: Front;
  readonly peers: Peers;
  readonly callers: Server;
}

/** Announces the shutdown to peers and callers, then waits until requests have
 * finished or the grace period is nearly over, when the others get their last
 * answers. Returns the number of these. */
export async function stopGracefully(
  options: GracefulStopOptions,
): Promise<number> {
  const { graceMs, front, peers, callers } = options;
  peers.leave();
  const { closesAtMs, endsAtMs } = front.startLeaving(graceMs);
  await wait(closesAtMs - performance.now());
  callers.close();
  callers.closeIdleConnections();
  await waitForAnswers(front, endsAtMs);
  const lastAnswers = front.answerLast();
  await waitForAnswers(front, endsAtMs + LAST_ANSWERS_MS);
  return lastAnswers;
}

async function waitForAnswers(front: Front, untilMs: number): Promise<void> {
  while (front.inFlight > 0 && performance.now() < untilMs) {
    await wait(CHECK_MS);
  }
}
