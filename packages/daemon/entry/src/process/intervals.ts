/**
 * Interval timers that stop when their owner is disposed of.
 *
 * @module
 */

import type { DisposableStore } from "@dotterelmoor/core.types";

/** Runs a function at a fixed interval until the store is disposed of. */
export function startInterval(
  store: DisposableStore,
  intervalMs: number,
  task: () => void,
): void {
  const timer = setInterval(task, intervalMs);
  store.add(() => clearInterval(timer));
}
