/**
 * Control listener of the simulated platform: faults, actual instance list and
 * counters.
 *
 * @module
 */

import Koa from "koa";
import type { Context } from "koa";
import { readJson } from "./listener.ts";
import type { PlatformState } from "./state.ts";
import { isInstanceList, isPartialOf } from "./validation.ts";

type Route = (context: Context, state: PlatformState) => Promise<void> | void;

async function handleSetFaults(
  context: Context,
  state: PlatformState,
): Promise<void> {
  const body = await readJson(context.req);
  if (!isPartialOf(body, state.faults)) {
    context.throw(
      400,
      "Request body contains an unknown fault or a value of the wrong type",
    );
  }
  state.setFaults(body);
  context.body = state.faults;
}

async function handleSetInstances(
  context: Context,
  state: PlatformState,
): Promise<void> {
  const body = await readJson(context.req);
  const list = Array.isArray(body)
    ? body
    : (body as { instances?: unknown } | null | undefined)?.instances;
  if (!isInstanceList(list)) {
    context.throw(400, "Request body is not a list of instances");
  }
  state.setInstances(list);
  context.status = 204;
}

const ROUTES: Readonly<Record<string, Route>> = {
  "POST /faults": handleSetFaults,
  "GET /faults": (context, state) => {
    context.body = state.faults;
  },
  "PUT /instances": handleSetInstances,
  "GET /instances": (context, state) => {
    context.body = { instances: state.readActualInstances() };
  },
  "GET /counters": (context, state) => {
    context.body = state.counters;
  },
};

/** Builds the Koa application of the control listener. */
export function buildControlApp(state: PlatformState): Koa {
  const app = new Koa();
  app.silent = true;
  app.use(async (context: Context) => {
    const route = ROUTES[`${context.method} ${context.path}`];
    if (route === undefined) context.throw(404, "No such resource");
    await route(context, state);
  });
  return app;
}
