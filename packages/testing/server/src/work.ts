/**
 * Request handling: refusal, simulated work, deadline and cancellation.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import { readBody } from "./listener.ts";
import type { ServerState } from "./state.ts";
import type { ServerOptions } from "./types.ts";

/** Options of `handleWork`. */
export interface WorkOptions {
  readonly state: ServerState;
  readonly options: ServerOptions;
  /** Draws the next service time in milliseconds. */
  readonly takeServiceMs: () => number;
  /** Simulates a crash of the server. */
  readonly crash: () => void;
}

type WorkResult = "done" | "deadline" | "closed";

/**
 * Reads a request, simulates its work and sends the response. A request whose
 * body is truncated or too large is not counted; its connection is closed.
 */
export async function handleWork(
  request: IncomingMessage,
  response: ServerResponse,
  work: WorkOptions,
): Promise<void> {
  const { state, options } = work;
  const body = await readBody(request);
  if (body === undefined) {
    response.destroy();
    return;
  }
  const requestId = readHeader(request, "dotterelmoor-request-id");
  if (requestId !== undefined) {
    response.setHeader("dotterelmoor-request-id", requestId);
  }
  if (refuseIfUnavailable(response, state)) return;
  const key = readHeader(request, options.keyHeader ?? "idempotency-key");
  state.recordStart(key);
  if (hasCrashTrigger(request, options)) {
    work.crash();
    return;
  }
  const result = await waitForWork(request, response, work);
  state.recordEnd();
  if (result === "closed") {
    state.cancelled += 1;
    return;
  }
  const echo = {
    server: state.name,
    method: request.method,
    path: request.url,
    requestId: requestId ?? null,
    key: key ?? null,
  };
  if (result === "deadline") {
    state.stoppedAtDeadline += 1;
    sendJson(response, 504, { ...echo, stopped: "deadline" });
    return;
  }
  state.completed += 1;
  sendResponseAfterDelay(response, state, {
    ...echo,
    body: body.toString("utf8"),
    pad: "x".repeat(options.answerBytes ?? 0),
  });
}

function refuseIfUnavailable(
  response: ServerResponse,
  state: ServerState,
): boolean {
  const { draining, refuseWhenDraining, shed } = state.faults;
  const isDraining = draining && refuseWhenDraining;
  if (!isDraining && !(shed && state.inFlight >= state.slots)) return false;
  state.refused += 1;
  response.setHeader("dotterelmoor-not-run", "true");
  if (isDraining) response.setHeader("dotterelmoor-draining", "true");
  sendJson(response, 503, { server: state.name, refused: true });
  return true;
}

function hasCrashTrigger(
  request: IncomingMessage,
  options: ServerOptions,
): boolean {
  const { crashHeader, crashPath } = options;
  return (crashHeader !== undefined &&
    request.headers[crashHeader] !== undefined) ||
    (crashPath !== undefined && (request.url ?? "").startsWith(crashPath));
}

function waitForWork(
  request: IncomingMessage,
  response: ServerResponse,
  work: WorkOptions,
): Promise<WorkResult> {
  const { state, options } = work;
  const factor = state.isCold ? options.coldFactor ?? 5 : 1;
  const serviceMs = work.takeServiceMs() * factor;
  const deadlineMs = Number(readHeader(request, "dotterelmoor-deadline-ms"));
  return new Promise((resolve) => {
    const timers: NodeJS.Timeout[] = [];
    function resolveOnce(result: WorkResult): void {
      timers.forEach((timer) => clearTimeout(timer));
      response.removeListener("close", handleClose);
      resolve(result);
    }
    function handleClose(): void {
      resolveOnce("closed");
    }
    response.once("close", handleClose);
    if (!state.faults.hang) {
      timers.push(setTimeout(resolveOnce, serviceMs, "done"));
    }
    if (deadlineMs > 0) {
      timers.push(setTimeout(resolveOnce, deadlineMs, "deadline"));
    }
  });
}

function sendResponseAfterDelay(
  response: ServerResponse,
  state: ServerState,
  answer: Readonly<Record<string, unknown>>,
): void {
  const { lateMs } = state.faults;
  if (lateMs <= 0) {
    sendResponse(response, state, answer);
    return;
  }
  const timer = setTimeout(sendResponse, lateMs, response, state, answer);
  response.once("close", () => clearTimeout(timer));
}

function sendResponse(
  response: ServerResponse,
  state: ServerState,
  answer: Readonly<Record<string, unknown>>,
): void {
  response.setHeader("dotterelmoor-in-flight", String(state.inFlight));
  response.setHeader("dotterelmoor-slots", String(state.slots));
  if (!state.faults.cutBody) {
    sendJson(response, 200, answer);
    return;
  }
  const body = Buffer.from(JSON.stringify(answer));
  response.writeHead(200, {
    "content-type": "application/json",
    "content-length": body.length,
  });
  const half = body.subarray(0, Math.floor(body.length / 2));
  response.write(half, () => response.destroy());
}

/** Sends a JSON response with its `content-length`. */
export function sendJson(
  response: ServerResponse,
  status: number,
  answer: Readonly<Record<string, unknown>>,
): void {
  const body = Buffer.from(JSON.stringify(answer));
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": body.length,
  });
  response.end(body);
}

function readHeader(
  request: IncomingMessage,
  name: string,
): string | undefined {
  const value = request.headers[name];
  return typeof value === "string" && value !== "" ? value : undefined;
}
