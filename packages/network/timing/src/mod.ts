/**
 * Timeouts and waits that take received data into account.
 *
 * @module
 */

export { waitForSocketReads } from "./reads.ts";
export { startTimeout } from "./timeout.ts";
export type { Timeout } from "./timeout.ts";
