/**
 * Session lease, group ownership and deputy promises as one state machine.
 *
 * @module
 */

import type { Ownership, OwnershipOptions } from "./types.ts";

/** Creates the ownership state machine of one process. */
export function createOwnership(_options: OwnershipOptions): Ownership {
  throw new Error("Ownership is not implemented yet");
}
