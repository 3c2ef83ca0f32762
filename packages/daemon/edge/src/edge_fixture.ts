/**
 * Test doubles for tests of whole entries: an in-memory store, and backend
 * servers and callers on loopback.
 *
 * @module
 */

import { createServer, request as openRequest } from "node:http";
import type {
  IncomingHttpHeaders,
  IncomingMessage,
  ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import type {
  CatalogChange,
  CatalogTable,
  RouteRecord,
  RoutingDocument,
  ServerRecord,
} from "@dotterelmoor/core.catalog";
import { DEFAULT_PROTOCOL } from "@dotterelmoor/network.backend";
import { Err, Ok } from "ts-results-es";
import { claimPort } from "../../../network/peering/src/claimed_ports_fixture.ts";
import type {
  CallerProtocol,
  CatalogStore,
  EdgeBounds,
  EdgePlatform,
  EdgeSettings,
  StoreError,
} from "./ports.ts";

/** A store whose rows tests change, and which they can take down. */
export interface MemoryStore {
  put(table: CatalogTable, key: string, change: CatalogChange): void;
  drop(table: CatalogTable, key: string, change: CatalogChange): void;
  /** Takes the store down or up for a client, or for all clients by default. */
  setDown(down: boolean, client?: string): void;
  /** Copies all rows, for `comeBack`. */
  copy(): void;
  /** Replaces all rows by those of the last copy, and begins a new era. */
  comeBack(): void;
  /** Lists the keys of a table's rows. */
  listKeys(table: CatalogTable): string[];
  /** Counts the calls so far of a client, or of all clients by default. */
  countCalls(client?: string): number;
  createClient(name: string): CatalogStore;
}

const STORE_DOWN: StoreError = {
  code: "unreachable",
  message: "The store is down",
  hint: "Wait",
};

/** Creates an empty store. */
export function createMemoryStore(): MemoryStore {
  return new InMemoryStore();
}

interface LoggedChange {
  readonly version: number;
  readonly table: CatalogTable;
  readonly change: CatalogChange;
}

type Rows = Readonly<Record<CatalogTable, Map<string, CatalogChange>>>;

function copyRows({ servers, orders, crashes }: Rows): Rows {
  return {
    servers: new Map(servers),
    orders: new Map(orders),
    crashes: new Map(crashes),
  };
}

const HISTORY_LOST: StoreError = {
  code: "history-lost",
  message: "The store does not have the version",
  hint: "Read all",
};

class InMemoryStore implements MemoryStore {
  #rows: Rows = {
    servers: new Map(),
    orders: new Map(),
    crashes: new Map(),
  };
  #log: LoggedChange[] = [];
  #copy = { rows: copyRows(this.#rows), log: [...this.#log], version: 1 };
  #era = 0;
  readonly #peerAddresses = new Map<string, string>();
  #savedState: unknown;
  readonly #down = new Set<string>();
  readonly #calls = new Map<string, number>();
  readonly #waiters = new Set<() => void>();
  #version = 1;

  put(table: CatalogTable, key: string, change: CatalogChange): void {
    this.#rows[table].set(key, change);
    this.#append(table, change);
  }

  drop(table: CatalogTable, key: string, change: CatalogChange): void {
    this.#rows[table].delete(key);
    this.#append(table, change);
  }

  setDown(down: boolean, client = "*"): void {
    if (down) this.#down.add(client);
    else this.#down.delete(client);
    this.#notifyWaiters();
  }

  copy(): void {
    const rows = copyRows(this.#rows);
    this.#copy = { rows, log: [...this.#log], version: this.#version };
  }

  comeBack(): void {
    const { rows, log, version } = this.#copy;
    this.#rows = copyRows(rows);
    this.#log = [...log];
    this.#version = version;
    this.#era += 1;
  }

  listKeys(table: CatalogTable): string[] {
    return [...this.#rows[table].keys()];
  }

  countCalls(client = "*"): number {
    return this.#calls.get(client) ?? 0;
  }

  createClient(name: string): CatalogStore {
    const refuse = () => {
      for (const key of [name, "*"]) {
        this.#calls.set(key, (this.#calls.get(key) ?? 0) + 1);
      }
      return this.#isDown(name) ? Err(STORE_DOWN) : undefined;
    };
    return {
      readAll: (table) =>
        Promise.resolve(
          refuse() ?? Ok({
            era: this.#era,
            version: this.#version,
            isComplete: true,
            changes: [...this.#rows[table].values()],
          }),
        ),
      readChanges: async (table, { after, waitMs }) => {
        const refused = refuse();
        if (refused !== undefined) return refused;
        await this.#waitFor(table, after, waitMs);
        if (this.#isDown(name)) return Err(STORE_DOWN);
        if (after > this.#version) return Err(HISTORY_LOST);
        return Ok({
          era: this.#era,
          version: this.#version,
          isComplete: false,
          changes: this.#changesAfter(table, after),
        });
      },
      registerEntry: (instance, peerAddress) => {
        const refused = refuse();
        if (refused !== undefined) return Promise.resolve(refused);
        this.#peerAddresses.set(instance, peerAddress);
        return Promise.resolve(Ok(undefined));
      },
      readSavedState: () => Promise.resolve(refuse() ?? Ok(this.#savedState)),
      writeSavedState: (value) => {
        const refused = refuse();
        if (refused !== undefined) return Promise.resolve(refused);
        this.#savedState = value;
        return Promise.resolve(Ok(undefined));
      },
      changeCrashNotes: ({ notes, removedKeys }) => {
        const refused = refuse();
        if (refused !== undefined) return Promise.resolve(refused);
        for (const note of notes) {
          this.put("crashes", note.key, { type: "crash_note", note });
        }
        for (const key of removedKeys) {
          this.drop("crashes", key, { type: "crash_note_removed", key });
        }
        return Promise.resolve(Ok(undefined));
      },
      claimTrial: (note) => {
        const refused = refuse();
        if (refused !== undefined) return Promise.resolve(refused);
        const isFree = !this.#rows.crashes.has(note.key);
        if (isFree) this.put("crashes", note.key, { type: "crash_note", note });
        return Promise.resolve(Ok(isFree));
      },
      listEntries: () =>
        Promise.resolve(refuse() ?? Ok([...this.#peerAddresses.values()])),
      close: () => {},
    };
  }

  #isDown(name: string): boolean {
    return this.#down.has("*") || this.#down.has(name);
  }

  #append(table: CatalogTable, change: CatalogChange): void {
    this.#version += 1;
    this.#log.push({ version: this.#version, table, change });
    this.#notifyWaiters();
  }

  #changesAfter(table: CatalogTable, after: number): CatalogChange[] {
    return this.#log
      .filter((record) => record.table === table && record.version > after)
      .map(({ change }) => change);
  }

  #notifyWaiters(): void {
    for (const wake of [...this.#waiters]) wake();
  }

  async #waitFor(
    table: CatalogTable,
    after: number,
    waitMs: number,
  ): Promise<void> {
    if (waitMs === 0 || this.#changesAfter(table, after).length > 0) return;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(() => end(), waitMs);
      const end = () => {
        clearTimeout(timer);
        this.#waiters.delete(end);
        resolve();
      };
      this.#waiters.add(end);
    });
  }
}

/** A backend server whose answers the test provides. */
export interface TestBackend {
  readonly address: string;
  /** Ids of the requests that it received, in order. */
  readonly requests: string[];
  readonly headers: IncomingHttpHeaders[];
  close(): void;
}

type Handle = (request: IncomingMessage, response: ServerResponse) => void;

/** Starts a backend server; by default it answers each request with its id. */
export async function startBackend(handle?: Handle): Promise<TestBackend> {
  const requests: string[] = [];
  const headers: IncomingHttpHeaders[] = [];
  const server = createServer((request, response) => {
    const id = String(request.headers["dotterelmoor-request-id"]);
    requests.push(id);
    headers.push(request.headers);
    response.setHeader("dotterelmoor-request-id", id);
    request.resume();
    if (handle === undefined) response.end(`answer to ${id}`);
    else handle(request, response);
  });
  const port = await listenOnFreePort(server);
  return {
    address: `127.0.0.1:${port}`,
    requests,
    headers,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

async function listenOnFreePort(
  server: ReturnType<typeof createServer>,
): Promise<number> {
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  return (server.address() as AddressInfo).port;
}

/** The caller protocol with the product's own header names. */
const CALLERS: CallerProtocol = {
  requestIdHeader: "dotterelmoor-request-id",
  targetHeader: "dotterelmoor-target",
  lookupPath: "/lookup",
  readyPath: "/ready",
  readRequest: (headers) => ({
    requestId: headers["dotterelmoor-request-id"] as string | undefined,
    waitMs: Number(headers["dotterelmoor-deadline-ms"] ?? 2_000),
    object: headers["dotterelmoor-object"] as string | undefined,
  }),
  readLoad: () => undefined,
  readNotice: () => ({ isLeaving: false, backOffMs: undefined }),
  readLookup: (query) => ({
    region: query.get("region") ?? "",
    zone: query.get("zone") ?? "",
  }),
  renderLookup: (addresses) => JSON.stringify(addresses),
};

/** Builds the platform of one entry. */
export function buildPlatform(store: CatalogStore): EdgePlatform {
  const servers = {
    ...DEFAULT_PROTOCOL,
    keepsHost: true,
    echoesRequestId: true,
  };
  return { callers: CALLERS, servers, store };
}

/** Limits of the platform in tests, with a short grace period. */
export const TEST_BOUNDS: EdgeBounds = {
  retryRatio: 0.2,
  retryExtra: 100,
  retryWindowMs: 10_000,
  graceMs: 1_500,
  lookupTtlMaxS: 5,
  configurationApplyMs: 2_500,
};

/** Builds settings with claimed ports on loopback. */
export async function buildSettings(
  instance: string,
  changes: Partial<EdgeSettings> = {},
): Promise<EdgeSettings> {
  const listen = async () => ({
    host: "127.0.0.1",
    port: await claimPort(),
  });
  return {
    instance,
    region: "a",
    zone: "a-1",
    zones: { "a-1": "a", "b-1": "b" },
    capacity: 1_000,
    callers: await listen(),
    lookups: await listen(),
    readiness: await listen(),
    peers: await listen(),
    metrics: undefined,
    seeds: [],
    peerToken: "test",
    bounds: TEST_BOUNDS,
    logLevel: "silent",
    ...changes,
  };
}

/** Builds the route `r1` to the service `desk`. */
export function buildRoute(changes: Partial<RouteRecord> = {}): RouteRecord {
  return {
    name: "r1",
    host: "desk.example",
    prefix: "/a/",
    repeatable: true,
    timeoutMs: 1_000,
    targetLatencyMs: 200,
    priority: 1,
    targets: [{ service: "desk", weight: 1 }],
    maxAttempts: 2,
    sticky: true,
    allowedRegions: [],
    ...changes,
  };
}

/** Builds a configuration with the service `desk`. */
export function buildDocument(
  version: number,
  routes: readonly RouteRecord[],
): RoutingDocument {
  return {
    version,
    routes,
    services: [{ name: "desk", maxConnections: 100, coldPerSecond: 100 }],
    limits: {
      maxHeaderBytes: 8_192,
      maxBodyBytes: 65_536,
      headerTimeoutMs: 2_000,
      idleTimeoutMs: 5_000,
    },
  };
}

/** Builds the record of a server of the service `desk`. */
export function buildServer(
  id: string,
  address: string,
  changes: Partial<ServerRecord> = {},
): ServerRecord {
  return {
    id,
    service: "desk",
    address,
    zone: "a-1",
    slots: 3,
    state: "ready",
    coldMs: 0,
    bornMs: 1,
    sequence: 1,
    ...changes,
  };
}

/** An answer as a caller receives it. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
}

/** Sends one request to an entry on a new connection; rejects if it gets no
 * answer. */
export function callEdge(
  address: { readonly host: string; readonly port: number },
  options: {
    readonly path?: string;
    readonly method?: string;
    readonly id?: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
    readonly signal?: AbortSignal;
    /** Address of the caller. */
    readonly localAddress?: string;
  } = {},
): Promise<CallerAnswer> {
  const { path = "/a/x", method = "GET", id = "q1", headers, body } = options;
  return new Promise((resolve, reject) => {
    const call = openRequest({
      ...address,
      path,
      method,
      agent: false,
      ...(options.signal === undefined ? {} : { signal: options.signal }),
      ...(options.localAddress === undefined
        ? {}
        : { localAddress: options.localAddress }),
      headers: {
        host: "desk.example",
        "dotterelmoor-request-id": id,
        ...headers,
      },
    }, (response) => {
      const chunks: Buffer[] = [];
      response.on("data", (chunk: Buffer) => chunks.push(chunk));
      response.on("error", reject);
      response.on("end", () =>
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body: Buffer.concat(chunks).toString(),
        }));
    });
    call.on("error", reject);
    call.end(body);
  });
}
