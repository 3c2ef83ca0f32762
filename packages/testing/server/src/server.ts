/**
 * Starts the simulated backend server.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import { DisposableStore } from "@dotterelmoor/core.types";
import { buildControlApp } from "./control.ts";
import { openListener } from "./listener.ts";
import type { Traffic } from "./listener.ts";
import { createServiceTimes } from "./random.ts";
import { ServerState } from "./state.ts";
import type { RunningServer, ServerCounters, ServerOptions } from "./types.ts";
import { handleWork, sendJson } from "./work.ts";
import type { WorkOptions } from "./work.ts";

/**
 * Starts a simulated backend server with a main and a control listener; rejects
 * if either cannot be bound.
 */
export async function startServer(
  options: ServerOptions = {},
): Promise<RunningServer> {
  const host = options.host ?? "127.0.0.1";
  const state = new ServerState(options);
  const disposables = new DisposableStore();
  const work: WorkOptions = {
    state,
    options,
    takeServiceMs: createServiceTimes(options),
    // In the process of a test, a crash only closes listeners and connections.
    crash: options.crash ?? (() => void disposables.dispose()),
  };
  const main = await openListener(
    (request, response) => handleRequest(request, response, work),
    { host, port: options.port ?? 0, maxConnections: options.maxConnections },
  );
  disposables.add(() => main.close());
  const readCounters = () => buildCounters(state, main.readTraffic());
  try {
    const control = await openListener(
      buildControlApp(state, readCounters).callback(),
      { host, port: options.controlPort ?? 0 },
    );
    disposables.add(() => control.close());
    return {
      name: state.name,
      address: main.address,
      url: `http://${main.address}`,
      controlUrl: `http://${control.address}`,
      setFaults: (faults) => state.setFaults(faults),
      readCounters,
      close: () => disposables.dispose(),
    };
  } catch (error) {
    await disposables.dispose();
    throw error;
  }
}

function handleRequest(
  request: IncomingMessage,
  response: ServerResponse,
  work: WorkOptions,
): void {
  if (request.method === "GET" && request.url === "/health") {
    handleHealth(response, work.state);
    return;
  }
  handleWork(request, response, work).catch((error: unknown) => {
    console.error("[server] Request failed unexpectedly", error);
    response.destroy();
  });
}

function handleHealth(response: ServerResponse, state: ServerState): void {
  const { healthDelayMs, healthFails } = state.faults;
  const sendHealth = () =>
    sendJson(response, healthFails ? 500 : 200, {
      state: state.healthState,
      inFlight: state.inFlight,
      slots: state.slots,
    });
  if (healthDelayMs <= 0) {
    sendHealth();
    return;
  }
  const timer = setTimeout(sendHealth, healthDelayMs);
  response.once("close", () => clearTimeout(timer));
}

function buildCounters(state: ServerState, traffic: Traffic): ServerCounters {
  return {
    server: state.name,
    runs: state.runs,
    completed: state.completed,
    runsByKey: Object.fromEntries(state.runsByKey),
    inFlight: state.inFlight,
    maxInFlight: state.maxInFlight,
    overSlots: state.overSlots,
    refused: state.refused,
    stoppedAtDeadline: state.stoppedAtDeadline,
    cancelled: state.cancelled,
    startedAfterDrainingMs: [...state.startedAfterDrainingMs],
    ...traffic,
  };
}
