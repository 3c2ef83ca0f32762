/**
 * Logs each configuration that takes effect, with its source.
 *
 * @module
 */

import type { RoutingDocument } from "@dotterelmoor/core.catalog";

/** Largest number of region-bound routes listed in one line; a configuration
 * may have thousands, and the rest is only counted. */
const MAX_BOUND_ROUTES = 32;

/** Logs each change of the configuration version. */
export interface ConfigurationLog {
  /** Logs a configuration unless its version was logged last; true if it was
   * logged. `source` is `store`, the process id or address of the entry that
   * sent it, or `any entry`. `ageMs` is an upper bound in milliseconds on the
   * time since any entry first read it from the store. */
  record(document: RoutingDocument, source: string, ageMs: number): boolean;
}

/** The part of a logger that the configuration log uses. */
export interface InfoLogger {
  info(fields: object, text: string): void;
}

/** Creates the configuration log of one process. */
export function createConfigurationLog(
  log: InfoLogger,
): ConfigurationLog {
  let lastVersion = -1;
  return {
    record: ({ version, routes }, source, ageMs) => {
      if (version === lastVersion) return false;
      lastVersion = version;
      const bound = routes.filter(({ allowedRegions }) =>
        allowedRegions.length > 0
      );
      const listed = bound.slice(0, MAX_BOUND_ROUTES)
        .map(({ name, allowedRegions }) => [name, allowedRegions]);
      log.info({
        version,
        source,
        spreadMs: Math.round(ageMs),
        routes: routes.length,
        boundRoutes: bound.length,
        allowedRegions: Object.fromEntries(listed),
      }, "Configuration in force.");
      return true;
    },
  };
}
