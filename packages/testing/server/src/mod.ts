/**
 * Simulated backend server.
 *
 * @module
 */

export { startServer } from "./server.ts";
export type {
  HealthState,
  RunningServer,
  ServerCounters,
  ServerFaults,
  ServerOptions,
} from "./types.ts";
