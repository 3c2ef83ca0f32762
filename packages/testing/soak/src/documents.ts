/**
 * The configurations of the soak.
 *
 * @module
 */

import type { RouteRecord, RoutingDocument } from "@dotterelmoor/core.catalog";
import { HOST } from "./callers.ts";

/** Builds a version: two lasting routes, and one that only this version has. */
export function buildDocument(version: number): RoutingDocument {
  return {
    version,
    routes: [
      buildRoute("repeatable", "/desk/r/", true),
      buildRoute("once", "/desk/o/", false),
      buildRoute(`version-${version}`, `/v${version}/`, true),
    ],
    services: [{ name: "desk", maxConnections: 500, coldPerSecond: 50 }],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 65_536,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}

function buildRoute(
  name: string,
  prefix: string,
  repeatable: boolean,
): RouteRecord {
  return {
    name,
    host: HOST,
    prefix,
    repeatable,
    timeoutMs: 1_500,
    targetLatencyMs: 400,
    priority: 1,
    targets: [{ service: "desk", weight: 1 }],
    maxAttempts: 2,
    sticky: true,
    allowedRegions: [],
  };
}
