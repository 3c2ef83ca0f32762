/**
 * Compresses the large parts of a catalog delta for transfer between entries.
 *
 * A configuration of a thousand routes and the list of all servers take
 * hundreds of kilobytes, and all entries of a region request them within half a
 * second. Each version is compressed once, to a tenth of its size or less, so
 * that the reader can send it, and entries on small instances can receive it,
 * in time.
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

/** The parts of a catalog message that hold a delta. */
export type PackedDelta = Pick<
  CatalogMessage,
  "delta" | "document" | "servers"
>;

/** Packs deltas; caches the bytes of the latest versions. */
export interface DeltaPacker {
  /** Moves the configuration and a complete list of servers out of a delta into
   * compressed bytes. */
  pack(delta: CatalogDelta): PackedDelta;
}

/** Creates a packer with an empty cache. */
export function createDeltaPacker(): DeltaPacker {
  const packDocument = createValuePacker<RoutingDocument>();
  const packServers = createValuePacker<string>();
  return {
    pack: ({ orders, servers, crashes }) => {
      const change = orders.changes.find(({ type }) => type === "document");
      const changes = orders.changes.filter((other) => other !== change);
      // Lists of the same version differ only in cold times.
      const list = servers.isComplete
        ? packServers(
          `${servers.era ?? 0}/${servers.version}`,
          servers.changes,
        )
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

/** Creates a packer that reuses the bytes of the last value with the same
 * key. */
function createValuePacker<Key>(): (key: Key, value: unknown) => Uint8Array {
  let latest: { readonly key: Key; readonly bytes: Uint8Array } | undefined;
  return (key, value) => {
    if (latest?.key !== key) latest = { key, bytes: packValue(value) };
    return latest.bytes;
  };
}

/** Restores a delta; undefined if a packed part is malformed. */
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

/** Checks only the outline: peers are trusted, as they share a secret token. */
function isDocument(value: unknown): value is RoutingDocument {
  if (typeof value !== "object" || value === null) return false;
  const { version, routes, services, limits } = value as Record<
    string,
    unknown
  >;
  return Number.isSafeInteger(version) && Array.isArray(routes) &&
    Array.isArray(services) && typeof limits === "object" && limits !== null;
}
