/**
 * Table of client address blocks in typed arrays.
 *
 * @module
 */

import type { ClientBlock } from "@dotterelmoor/core.types";

/** Finds the region nearest to a client; built once per snapshot. */
export interface ClientBlockTable {
  readonly size: number;
  /** Bytes held by the typed arrays. */
  readonly byteLength: number;
  /** Region of the narrowest block that covers the address. */
  find(ipv4: string | number): string | undefined;
}

/** Builds the table; blocks may nest, and the narrowest one wins. */
export function createClientBlockTable(
  _blocks: Iterable<ClientBlock>,
): ClientBlockTable {
  throw new Error("Cannot create a client-block table yet");
}
