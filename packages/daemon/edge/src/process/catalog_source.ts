/**
 * Descriptions of the entries that a catalog is pulled from.
 *
 * @module
 */

import type { CatalogSource } from "@dotterelmoor/core.refreshing";

const SOURCE_FORMATTERS: {
  readonly [Type in CatalogSource["type"]]: (
    source: Extract<CatalogSource, { type: Type }>,
  ) => string;
} = {
  process: ({ processId }) => processId,
  address: ({ peerAddress }) => peerAddress,
  any: () => "any entry",
};

/** Formats a source for log lines. */
export function describeSource(source: CatalogSource): string {
  const describe = SOURCE_FORMATTERS[source.type] as (
    source: CatalogSource,
  ) => string;
  return describe(source);
}
