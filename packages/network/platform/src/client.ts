/**
 * Client of the platform over HTTP with keep-alive connections.
 *
 * @module
 */

import type {
  ListedInstance,
  ReadResult,
  TableRow,
  TableTransaction,
  TransactResult,
} from "@dotterelmoor/core.types";
import { randomUUID } from "node:crypto";
import { parseInstances, parseRow, parseRows, parseVersions } from "./parse.ts";
import { createRequester } from "./requester.ts";
import type { Requester } from "./requester.ts";
import type {
  InstancesResult,
  ObjectResult,
  PlatformClient,
  PlatformClientOptions,
  StoreResult,
} from "./types.ts";

/** Rows per page; keeps a page of session rows below 256 KiB. */
const DEFAULT_PAGE_SIZE = 500;

const UNAVAILABLE = { type: "unavailable" } as const;

/** Creates a client of the platform. */
export function createPlatformClient(
  options: PlatformClientOptions,
): PlatformClient {
  const requester = createRequester(options);
  const pageSize = options.pageSize ?? DEFAULT_PAGE_SIZE;
  return {
    transact: (transaction) => submitTransaction(requester, transaction),
    read: (key) => readRow(requester, key),
    list: (prefix) => listRows(requester, { prefix, pageSize }),
    fetchInstances: () => fetchInstances(requester),
    getObject: (name) => getObject(requester, name),
    putObject: (name, body) => setObject(requester, { name, body }),
    close: () => requester.close(),
  };
}

async function submitTransaction(
  requester: Requester,
  transaction: TableTransaction,
): Promise<TransactResult> {
  const response = await requester.request("POST", "table/transact", {
    json: {
      id: randomUUID(),
      checks: transaction.checks,
      writes: transaction.writes,
    },
  });
  if (response === undefined) return UNAVAILABLE;
  if (response.status === 200) {
    const versions = requester.parse(response, parseVersions);
    return versions === undefined
      ? UNAVAILABLE
      : { type: "committed", versions };
  }
  if (response.status === 409) {
    const rows = requester.parse(response, (body) => parseRows(body.conflicts));
    return rows === undefined ? UNAVAILABLE : { type: "conflict", rows };
  }
  return UNAVAILABLE;
}

async function readRow(
  requester: Requester,
  key: string,
): Promise<ReadResult> {
  const path = `table/rows/${encodeURIComponent(key)}`;
  const response = await requester.request("GET", path);
  if (response?.status !== 200) return UNAVAILABLE;
  const row = requester.parse(response, parseRow);
  return row === undefined ? UNAVAILABLE : { type: "rows", rows: [row] };
}

async function listRows(
  requester: Requester,
  page: { readonly prefix: string; readonly pageSize: number },
): Promise<ReadResult> {
  const rows: TableRow[] = [];
  let after = "";
  while (true) {
    const query = new URLSearchParams({
      prefix: page.prefix,
      after,
      limit: String(page.pageSize),
    });
    const response = await requester.request("GET", `table/rows?${query}`);
    if (response?.status !== 200) return UNAVAILABLE;
    const pageRows = requester.parse(response, (body) => parseRows(body.rows));
    if (pageRows === undefined) return UNAVAILABLE;
    rows.push(...pageRows);
    const last = pageRows.at(-1);
    if (last === undefined || pageRows.length < page.pageSize) {
      return { type: "rows", rows };
    }
    // Without increasing keys, paging would never end.
    if (last.key <= after) return UNAVAILABLE;
    after = last.key;
  }
}

async function fetchInstances(requester: Requester): Promise<InstancesResult> {
  const response = await requester.request("GET", "instances");
  if (response?.status !== 200) return UNAVAILABLE;
  const instances: ListedInstance[] | undefined = requester.parse(
    response,
    parseInstances,
  );
  return instances === undefined
    ? UNAVAILABLE
    : { type: "instances", instances };
}

async function getObject(
  requester: Requester,
  name: string,
): Promise<ObjectResult> {
  const path = `objects/${encodeURIComponent(name)}`;
  const response = await requester.request("GET", path);
  if (response?.status === 404) return { type: "absent" };
  if (response?.status !== 200) return UNAVAILABLE;
  return { type: "object", body: response.body };
}

async function setObject(
  requester: Requester,
  object: { readonly name: string; readonly body: Uint8Array },
): Promise<StoreResult> {
  const path = `objects/${encodeURIComponent(object.name)}`;
  const response = await requester.request("PUT", path, { body: object.body });
  const stored = response !== undefined && response.status >= 200 &&
    response.status < 300;
  return stored ? { type: "stored" } : UNAVAILABLE;
}
