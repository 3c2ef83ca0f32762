/**
 * The messages of requests' log lines.
 *
 * @module
 */

import type { RouteRecord } from "@dotterelmoor/core.catalog";
import type { ForwardResult } from "./forward_types.ts";

/** The result of a request, with the route that matched it. */
export interface RequestEnd extends ForwardResult {
  readonly route?: RouteRecord;
  /** Version of the configuration in which the route was found. */
  readonly routeVersion?: number;
}

/** Chooses the message of a request's log line; each message is rate-limited
 * separately. */
export function chooseMessage(end: RequestEnd, elapsedMs: number): string {
  const { outcome, route, sends } = end;
  if (sends.some(({ place }) => place === "outside")) {
    return "Request sent outside its route's regions.";
  }
  if (outcome.type === "not-run" && outcome.reason === "quarantined") {
    return "Request quarantined.";
  }
  if (outcome.type !== "answered") return `Request ${outcome.type}.`;
  if (outcome.status >= 500) return "Request failed by its server.";
  if (route !== undefined && elapsedMs > route.targetLatencyMs) {
    return "Request late.";
  }
  return sends.length > 1 ? "Request served by a retry." : "Request served.";
}
