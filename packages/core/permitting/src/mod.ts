/**
 * Byte permits on links between regions: ledger and holder.
 *
 * @module
 */

export { createPermitHolder } from "./holder.ts";
export { createPermitLedger } from "./ledger.ts";
export type {
  PermitGrant,
  PermitHolder,
  PermitHolderEvent,
  PermitHolderOptions,
  PermitLedger,
  PermitLedgerEvent,
  PermitLedgerOptions,
  PermitRequest,
} from "./types.ts";
