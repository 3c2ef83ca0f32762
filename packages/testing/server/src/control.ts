/**
 * Control listener of the simulated backend server: faults and counters.
 *
 * @module
 */

import Koa from "koa";
import type { Context } from "koa";
import { readBody } from "./listener.ts";
import type { ServerState } from "./state.ts";
import type { HealthState, ServerCounters, ServerFaults } from "./types.ts";

const HEALTH_STATES: readonly (HealthState | null)[] = [
  "ok",
  "draining",
  "cold",
  null,
];

function isFaults(
  value: unknown,
  example: ServerFaults,
): value is Partial<ServerFaults> {
  if (typeof value !== "object" || value === null) return false;
  return Object.entries(value).every(([name, part]) =>
    name === "healthState"
      ? HEALTH_STATES.includes(part as HealthState | null)
      : name in example &&
        typeof part === typeof example[name as keyof ServerFaults]
  );
}

async function handleSetFaults(
  context: Context,
  state: ServerState,
): Promise<void> {
  let faults: unknown;
  try {
    faults = JSON.parse((await readBody(context.req))?.toString("utf8") ?? "");
  } catch {
    faults = undefined;
  }
  if (!isFaults(faults, state.faults)) {
    context.throw(
      400,
      "Request body contains an unknown fault or a value of the wrong type",
    );
  }
  state.setFaults(faults);
  context.body = state.faults;
}

/** Builds the Koa application of the control listener. */
export function buildControlApp(
  state: ServerState,
  readCounters: () => ServerCounters,
): Koa {
  const app = new Koa();
  app.silent = true;
  app.use(async (context: Context) => {
    const target = `${context.method} ${context.path}`;
    if (target === "POST /faults") {
      await handleSetFaults(context, state);
    } else if (target === "GET /faults") {
      context.body = state.faults;
    } else if (target === "GET /counters") {
      context.body = readCounters();
    } else {
      context.throw(404, "No such resource");
    }
  });
  return app;
}
