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
  const answer = await requester.request("POST", "table/transact", {
    json: {
      id: randomUUID(),
      checks: transaction.checks,
      writes: transaction.writes,
    },
  });
  if (answer === undefined) return UNAVAILABLE;
  if (answer.status === 200) {
    const versions = requester.parse(answer, parseVersions);
    return versions === undefined
      ? UNAVAILABLE
      : { type: "committed", versions };
  }
  if (answer.status === 409) {
    const rows = requester.parse(answer, (body) => parseRows(body.conflicts));
    return rows === undefined ? UNAVAILABLE : { type: "conflict", rows };
  }
  return UNAVAILABLE;
}

async function readRow(
  requester: Requester,
  key: string,
): Promise<ReadResult> {
  const path = `table/rows/${encodeURIComponent(key)}`;
  const answer = await requester.request("GET", path);
  if (answer?.status !== 200) return UNAVAILABLE;
  const row = requester.parse(answer, parseRow);
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
    const answer = await requester.request("GET", `table/rows?${query}`);
    if (answer?.status !== 200) return UNAVAILABLE;
    const found = requester.parse(answer, (body) => parseRows(body.rows));
    if (found === undefined) return UNAVAILABLE;
    rows.push(...found);
    const last = found.at(-1);
    if (last === undefined || found.length < page.pageSize) {
      return { type: "rows", rows };
    }
    // Without increasing keys, paging would never end.
    if (last.key <= after) return UNAVAILABLE;
    after = last.key;
  }
}

async function fetchInstances(requester: Requester): Promise<InstancesResult> {
  const answer = await requester.request("GET", "instances");
  if (answer?.status !== 200) return UNAVAILABLE;
  const instances: ListedInstance[] | undefined = requester.parse(
    answer,
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
  const answer = await requester.request("GET", path);
  if (answer?.status === 404) return { type: "absent" };
  if (answer?.status !== 200) return UNAVAILABLE;
  return { type: "object", body: answer.body };
}

async function setObject(
  requester: Requester,
  object: { readonly name: string; readonly body: Uint8Array },
): Promise<StoreResult> {
  const path = `objects/${encodeURIComponent(object.name)}`;
  const answer = await requester.request("PUT", path, { body: object.body });
  const stored = answer !== undefined && answer.status >= 200 &&
    answer.status < 300;
  return stored ? { type: "stored" } : UNAVAILABLE;
}
