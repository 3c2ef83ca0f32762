/**
 * Polls the platform's list of instances.
 *
 * @module
 */

import type { DisposableStore, ListedInstance } from "@dotterelmoor/core.types";
import type { PlatformClient } from "@dotterelmoor/network.platform";
import { startInterval } from "./intervals.ts";

const LIST_INTERVAL_MS = 1_000;

/** Service name of entries in the list. */
export const ENTRY_SERVICE = "dotterelmoor-entry";

/** Options of `startInstanceWatch`. */
export interface InstanceWatchOptions {
  readonly platform: PlatformClient;
  readonly store: DisposableStore;
  readonly onInstances: (instances: readonly ListedInstance[]) => void;
}

/** Polls the list every second; keeps the last one if a read fails. */
export function startInstanceWatch(options: InstanceWatchOptions): void {
  let reading = false;
  async function readList(): Promise<void> {
    if (reading) return;
    reading = true;
    const result = await options.platform.fetchInstances();
    reading = false;
    if (result.type === "instances") options.onInstances(result.instances);
  }
  startInterval(options.store, LIST_INTERVAL_MS, () => void readList());
  void readList();
}
