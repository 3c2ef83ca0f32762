/**
 * The quarantine of one entry.
 *
 * @module
 */

import type { Quarantine, QuarantineOptions } from "./types.ts";

/** Creates the quarantine of one entry. */
export function createQuarantine(_options: QuarantineOptions): Quarantine {
  throw new Error("Not implemented");
}
