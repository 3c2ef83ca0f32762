/**
 * Byte permits for links between regions: ledger and holder.
 *
 * @module
 */

export {};
