/**
 * Waits, and steps that are repeated for the life of the process.
 *
 * @module
 */

import type { Logger } from "pino";

/** Pause in milliseconds after a step that failed unexpectedly: what it keeps
 * up to date is at most this much older, and logs stay short. */
const FAILED_PAUSE_MS = 500;

/** Resolves after a time in milliseconds. */
export function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Options of `runRepeatedly`. */
export interface RepeatOptions {
  readonly isStopped: () => boolean;
  readonly log: Logger;
}

/** Runs a step until it is stopped, with the pause in milliseconds that the
 * step returns. One that throws is logged and run again: an unexpected error
 * must not end what the process relies on. */
export async function runRepeatedly(
  step: () => Promise<number>,
  { isStopped, log }: RepeatOptions,
): Promise<void> {
  while (!isStopped()) {
    const pauseMs = await step().catch((error: unknown) => {
      log.error({ err: error }, "Step failed.");
      return FAILED_PAUSE_MS;
    });
    if (!isStopped()) await wait(pauseMs);
  }
}
