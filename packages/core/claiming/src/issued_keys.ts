/**
 * Idempotency keys that look-ups hand out, deduplicated in memory.
 *
 * @module
 */

import type { IssuedKeys, IssuedKeysOptions } from "./types.ts";

/** Creates the issued keys of one process. */
export function createIssuedKeys(_options: IssuedKeysOptions): IssuedKeys {
  throw new Error("Issued keys are not implemented yet");
}
