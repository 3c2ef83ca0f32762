/**
 * Starts the simulated platform.
 *
 * @module
 */

import { DisposableStore } from "@dotterelmoor/core.types";
import { buildControlApp } from "./control.ts";
import { openListener } from "./listener.ts";
import { buildPlatformApp } from "./routes.ts";
import { PlatformState } from "./state.ts";
import type { PlatformOptions, RunningPlatform } from "./types.ts";

/**
 * Starts a simulated platform with a main and a control listener; rejects if
 * either cannot be bound.
 */
export async function startPlatform(
  options: PlatformOptions = {},
): Promise<RunningPlatform> {
  const host = options.host ?? "127.0.0.1";
  const state = new PlatformState(options);
  const disposables = new DisposableStore();
  const main = await openListener(buildPlatformApp(state).callback(), {
    host,
    port: options.port ?? 0,
  });
  disposables.add(() => main.close());
  try {
    const control = await openListener(buildControlApp(state).callback(), {
      host,
      port: options.controlPort ?? 0,
    });
    disposables.add(() => control.close());
    return {
      url: main.url,
      controlUrl: control.url,
      setFaults: (faults) => state.setFaults(faults),
      setInstances: (instances) => state.setInstances(instances),
      readCounters: () => ({ ...state.counters }),
      close: () => disposables.dispose(),
    };
  } catch (error) {
    await disposables.dispose();
    throw error;
  }
}
