/**
 * Timeouts that heed what has arrived.
 *
 * @module
 */

export { startTimeout } from "./timeout.ts";
export type { Timeout } from "./timeout.ts";
