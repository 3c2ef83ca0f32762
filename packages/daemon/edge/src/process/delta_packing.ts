/**
 * Packs what is large in a delta of the catalog for the entries that follow.
 *
 * A configuration of a thousand routes and the list of all servers take
 * hundreds of kilobytes, and all entries of a region ask for them within half a
 * second. They are packed once for each version, to a tenth or less, so that
 * small instances receive them, and the entry that they follow sends them, in
 * time.
 *
 * @module
 */

import type {
  CatalogChange,
  CatalogDelta,
  RoutingDocument,
  TableUpdate,
} from "@dotterelmoor/core.catalog";
import { packValue, unpackValue } from "@dotterelmoor/network.peering";
import type { CatalogMessage } from "@dotterelmoor/network.peering";

/** A delta as it travels. */
export type PackedDelta = Pick<
  CatalogMessage,
  "delta" | "document" | "servers"
>;

/** Packs deltas; the bytes of the latest versions are kept. */
export interface DeltaPacker {
  pack(delta: CatalogDelta): PackedDelta;
}

/** Creates a packer. */
export function createDeltaPacker(): DeltaPacker {
  const packDocument = createValuePacker<RoutingDocument>();
  const packServers = createValuePacker<number>();
  return {
    pack: ({ orders, servers, crashes }) => {
      const change = orders.changes.find(({ type }) => type === "document");
      const changes = orders.changes.filter((other) => other !== change);
      // Only cold times differ between lists of one version.
      const list = servers.isComplete
        ? packServers(servers.version, servers.changes)
        : undefined;
      return {
        delta: {
          orders: { ...orders, changes },
          servers: list === undefined ? servers : { ...servers, changes: [] },
          crashes,
        },
        document: change?.type === "document"
          ? packDocument(change.document, change.document)
          : undefined,
        servers: list,
      };
    },
  };
}

/** Packs a value unless the one before had the same key. */
function createValuePacker<Key>(): (key: Key, value: unknown) => Uint8Array {
  let latest: { readonly key: Key; readonly bytes: Uint8Array } | undefined;
  return (key, value) => {
    if (latest?.key !== key) latest = { key, bytes: packValue(value) };
    return latest.bytes;
  };
}

/** Restores a delta; undefined if a packed part cannot be read. */
export function unpackDelta(
  { delta, document: documentBytes, servers: listBytes }: PackedDelta,
): CatalogDelta | undefined {
  const { crashes } = delta;
  let { orders, servers } = delta;
  if (documentBytes !== undefined) {
    const document = unpackValue(documentBytes);
    if (!isDocument(document)) return undefined;
    orders = addChanges(orders, [{ type: "document", document }]);
  }
  if (listBytes !== undefined) {
    const list = unpackValue(listBytes);
    if (!Array.isArray(list)) return undefined;
    servers = addChanges(servers, list);
  }
  return { orders, servers, crashes };
}

function addChanges(
  update: TableUpdate,
  changes: readonly CatalogChange[],
): TableUpdate {
  return { ...update, changes: [...update.changes, ...changes] };
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
