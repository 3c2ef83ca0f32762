/**
 * Claimed and issued idempotency keys.
 *
 * @module
 */

export { createClaims } from "./claims.ts";
export { createIssuedKeys } from "./issued_keys.ts";
export type {
  Claims,
  ClaimsAction,
  ClaimsEvent,
  ClaimsOptions,
  IssuedKeys,
  IssuedKeysOptions,
  KeyUse,
  ParsedKey,
} from "./types.ts";
