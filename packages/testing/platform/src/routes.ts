/**
 * Main listener: serves the platform protocol that the design page specifies.
 *
 * @module
 */

import { setTimeout as wait } from "node:timers/promises";
import Koa from "koa";
import type { Context } from "koa";
import { readBody, readJson } from "./listener.ts";
import type { PlatformState } from "./state.ts";
import { isTransaction } from "./validation.ts";

/** Maximum number of rows in a page; a larger `limit` is reduced to it. */
const MAX_PAGE_ROWS = 1_000;

type Route = (
  context: Context,
  state: PlatformState,
  name: string,
) => Promise<void> | void;

async function handleTransact(
  context: Context,
  state: PlatformState,
): Promise<void> {
  const body = await readJson(context.req);
  if (!isTransaction(body)) {
    context.throw(400, "Request body is not a transaction");
  }
  state.counters.transactions += 1;
  const result = state.table.transact(body);
  if (result.committed) {
    state.counters.committed += 1;
    state.counters.rowWrites += body.writes.length;
  } else {
    state.counters.conflicts += 1;
  }
  if (result.committed && state.takeLostResponse()) {
    context.respond = false;
    context.req.socket.destroy();
    return;
  }
  context.status = result.committed ? 200 : 409;
  context.body = result;
}

function handleGetRow(
  context: Context,
  state: PlatformState,
  key: string,
): void {
  state.counters.reads += 1;
  context.body = state.table.read(key);
}

function handleListRows(context: Context, state: PlatformState): void {
  state.counters.reads += 1;
  const query = new URLSearchParams(context.querystring);
  const limit = Number(query.get("limit") ?? MAX_PAGE_ROWS);
  context.body = {
    rows: state.table.list(query.get("prefix") ?? "", {
      after: query.get("after") ?? "",
      limit: Number.isInteger(limit) && limit > 0
        ? Math.min(limit, MAX_PAGE_ROWS)
        : MAX_PAGE_ROWS,
    }),
  };
}

async function handlePutObject(
  context: Context,
  state: PlatformState,
  name: string,
): Promise<void> {
  const body = await readBody(context.req);
  if (body === undefined) context.throw(413, "Object is too large");
  state.counters.objectWrites += 1;
  state.objects.set(name, body);
  context.status = 204;
}

function handleGetObject(
  context: Context,
  state: PlatformState,
  name: string,
): void {
  state.counters.objectReads += 1;
  const body = state.objects.get(name);
  if (body === undefined) context.throw(404, "No object has this name");
  context.type = "application/octet-stream";
  context.body = body;
}

function handleListInstances(context: Context, state: PlatformState): void {
  state.counters.listReads += 1;
  context.body = { instances: state.readInstances() };
}

const EXACT_ROUTES: Readonly<Record<string, Route>> = {
  "POST /table/transact": handleTransact,
  "GET /table/rows": handleListRows,
  "GET /instances": handleListInstances,
};

const PREFIX_ROUTES: readonly (readonly [string, Route])[] = [
  ["GET /table/rows/", handleGetRow],
  ["PUT /objects/", handlePutObject],
  ["GET /objects/", handleGetObject],
];

function findRoute(target: string): { route: Route; name: string } | undefined {
  const exact = EXACT_ROUTES[target];
  if (exact !== undefined) return { route: exact, name: "" };
  const found = PREFIX_ROUTES.find(([prefix]) => target.startsWith(prefix));
  if (found === undefined) return undefined;
  const [prefix, route] = found;
  try {
    return { route, name: decodeURIComponent(target.slice(prefix.length)) };
  } catch {
    return undefined;
  }
}

/** Builds the Koa application of the main listener. */
export function buildPlatformApp(state: PlatformState): Koa {
  const app = new Koa();
  app.silent = true;
  app.use(async (context: Context) => {
    if (state.faults.slowMs > 0) await wait(state.faults.slowMs);
    if (state.faults.down) {
      state.counters.refusedWhileDown += 1;
      context.throw(503, "The platform is down");
    }
    const found = findRoute(`${context.method} ${context.path}`);
    if (found === undefined) context.throw(404, "No such resource");
    await found.route(context, state, found.name);
  });
  return app;
}
