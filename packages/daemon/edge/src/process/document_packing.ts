/**
 * Packs the configuration for the entries that follow.
 *
 * A configuration of a thousand routes takes hundreds of kilobytes, and all
 * entries of a region ask for it within half a second. It is packed once for
 * each version, to less than a tenth, so that small instances receive it, and
 * the entry that they follow sends it, in time.
 *
 * @module
 */

import type { CatalogDelta, RoutingDocument } from "@dotterelmoor/core.catalog";
import { packValue, unpackValue } from "@dotterelmoor/network.peering";
import type { CatalogMessage } from "@dotterelmoor/network.peering";

/** A delta as it travels. */
export type PackedDelta = Pick<CatalogMessage, "delta" | "document">;

/** Packs deltas; the bytes of the latest configuration are kept. */
export interface DocumentPacker {
  pack(delta: CatalogDelta): PackedDelta;
}

/** Creates a packer. */
export function createDocumentPacker(): DocumentPacker {
  let latest: RoutingDocument | undefined;
  let bytes: Uint8Array = new Uint8Array();
  return {
    pack: (delta) => {
      const { orders } = delta;
      const change = orders.changes.find(({ type }) => type === "document");
      if (change?.type !== "document") return { delta };
      if (change.document !== latest) {
        latest = change.document;
        bytes = packValue(latest);
      }
      const changes = orders.changes.filter((other) => other !== change);
      return {
        delta: { ...delta, orders: { ...orders, changes } },
        document: bytes,
      };
    },
  };
}

/** Restores a delta; undefined if its configuration cannot be read. */
export function unpackDelta(
  { delta, document: bytes }: PackedDelta,
): CatalogDelta | undefined {
  if (bytes === undefined) return delta;
  const document = unpackValue(bytes);
  if (!isDocument(document)) return undefined;
  const { orders } = delta;
  const changes = [...orders.changes, { type: "document" as const, document }];
  return { ...delta, orders: { ...orders, changes } };
}

/** Peers hold the same key, so only the outline is checked. */
function isDocument(value: unknown): value is RoutingDocument {
  if (typeof value !== "object" || value === null) return false;
  const { version, routes, services, limits } = value as Record<
    string,
    unknown
  >;
  return Number.isSafeInteger(version) && Array.isArray(routes) &&
    Array.isArray(services) && typeof limits === "object" && limits !== null;
}
