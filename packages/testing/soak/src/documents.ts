/**
 * Versions of the routing document that a soak run publishes.
 *
 * @module
 */

import type { RouteRecord, RoutingDocument } from "@dotterelmoor/core.catalog";

/** Host of all routes. */
export const HOST = "desk.example";

/** Allowed regions of region-bound routes; versions use them in rotation. */
const REGION_ROTATION = [["a"], ["b"], ["a", "b"], ["b"]] as const;

/**
 * Paths of the region-bound routes. The regions of the second route are one
 * version ahead of the first.
 */
export const REGION_BOUND_PATHS = ["/bound/r/", "/bound/o/"] as const;

/** Timeout on region-bound routes, long enough for slowly sent bodies. */
export const REGION_BOUND_TIMEOUT_MS = 7_000;

/** Returns the allowed regions of a path in a version; empty if unrestricted. */
export function getAllowedRegions(
  path: string,
  version: number,
): readonly string[] {
  const index = REGION_BOUND_PATHS.findIndex((candidate) => candidate === path);
  if (index < 0) return [];
  return REGION_ROTATION[(version + index) % REGION_ROTATION.length]!;
}

/**
 * Builds a version of the routing document. It has the routes of all versions,
 * with allowed regions that change by version, and one route of its own.
 */
export function buildDocument(version: number): RoutingDocument {
  return {
    version,
    routes: [
      buildRoute("repeatable", "/desk/r/", true),
      buildRoute("once", "/desk/o/", false),
      ...REGION_BOUND_PATHS.map((path) => ({
        ...buildRoute(path, path, path === "/bound/r/"),
        timeoutMs: REGION_BOUND_TIMEOUT_MS,
        allowedRegions: getAllowedRegions(path, version),
      })),
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
