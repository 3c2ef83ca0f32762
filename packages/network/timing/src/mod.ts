/**
 * Waits and timeouts that heed what has arrived.
 *
 * @module
 */

export { waitForReads } from "./reads.ts";
export { startTimeout } from "./timeout.ts";
export type { Timeout } from "./timeout.ts";
