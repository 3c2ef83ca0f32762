/**
 * Claims on idempotency keys in the table, batched into transactions.
 *
 * @module
 */

import type { Claims, ClaimsOptions } from "./types.ts";

/** Creates the claims of one process. */
export function createClaims(_options: ClaimsOptions = {}): Claims {
  throw new Error("Claims are not implemented yet");
}
