/**
 * Waits, and background loops that run for the life of the process.
 *
 * @module
 */

import type { Logger } from "pino";

/** Pause in milliseconds after an unexpected failure of a step: short, because
 * the state that the step keeps up to date ages meanwhile, and long enough not
 * to flood the logs. */
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

/** Runs a step repeatedly until it is stopped; the step returns the pause in
 * milliseconds before the next run. A rejected step is logged and run again: an
 * unexpected error must not end a loop that the process relies on. */
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
