/**
 * Holder of byte permits on one link.
 *
 * @module
 */

import type { PermitHolder, PermitHolderOptions } from "./types.ts";

/** Creates the holder of one process on one link. */
export function createPermitHolder(
  _options: PermitHolderOptions,
): PermitHolder {
  throw new Error("The permit holder is not implemented yet");
}
