/**
 * Randomized faults against real entry processes.
 *
 * @module
 */

export type { Violation } from "./checks.ts";
export { Records } from "./records.ts";
export { runSoak } from "./soak.ts";
export type { SoakOptions, SoakReport } from "./soak.ts";
