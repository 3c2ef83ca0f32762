/**
 * Ledger of byte permits on one link.
 *
 * @module
 */

import type { PermitLedger, PermitLedgerOptions } from "./types.ts";

/** Creates the ledger of one link. */
export function createPermitLedger(
  _options: PermitLedgerOptions,
): PermitLedger {
  throw new Error("The permit ledger is not implemented yet");
}
