/**
 * Calls the health endpoint of a backend server.
 *
 * @module
 */

import { Agent } from "node:http";
import type { HealthResult } from "./types.ts";

/** A health response has three short fields. */
const MAX_HEALTH_BYTES = 4_096;

const REFUSED_CODES: readonly (string | undefined)[] = [
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
];

/**
 * Loads the HTTP library of the health checks. Loading takes 100 ms or more, so
 * an entry that makes checks calls this before it is ready.
 */
export async function loadHealthChecks(): Promise<void> {
  await import("got");
}

/**
 * Sends `GET /health` on a new connection, so that a server that no longer
 * accepts connections does not count as healthy. Never rejects.
 */
export async function fetchHealth(
  address: string,
  timeoutMs: number,
): Promise<HealthResult> {
  // Loaded lazily, so that an entry that makes no checks does not load it.
  const { default: got, RequestError } = await import("got");
  const controller = new AbortController();
  try {
    const pending = got(`http://${address}/health`, {
      agent: { http: new Agent({ keepAlive: false }) },
      retry: { limit: 0 },
      followRedirect: false,
      decompress: false,
      responseType: "text",
      timeout: { request: timeoutMs },
      signal: controller.signal,
    });
    pending.on("downloadProgress", ({ transferred }) => {
      if (transferred > MAX_HEALTH_BYTES) controller.abort();
    });
    return parseHealth(JSON.parse((await pending).body));
  } catch (error) {
    const isRefused = error instanceof RequestError &&
      REFUSED_CODES.includes(error.code);
    return { type: isRefused ? "connection_refused" : "unavailable" };
  }
}

function parseHealth(body: unknown): HealthResult {
  if (typeof body !== "object" || body === null) return { type: "unavailable" };
  const { state, inFlight, slots } = body as Record<string, unknown>;
  const isKnown = state === "ok" || state === "draining" || state === "cold";
  if (!isKnown || typeof inFlight !== "number" || typeof slots !== "number") {
    return { type: "unavailable" };
  }
  return { type: "health", state, inFlight, slots };
}
