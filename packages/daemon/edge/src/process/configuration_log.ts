/**
 * Logs which configuration is in force and where it was learnt.
 *
 * @module
 */

import type { RoutingDocument } from "@dotterelmoor/core.catalog";

/** Routes with regions that one line lists; a configuration may have
 * thousands, and the rest is counted. */
const MAX_BOUND_ROUTES = 32;

/** Notes each version once; tells whether it did. */
export interface ConfigurationLog {
  /** `source` is `store`, or what is known of the entry that told it: its
   * process id, its address, or `any entry`. The configuration was first read
   * by an entry `ageMs` milliseconds ago at most. */
  record(document: RoutingDocument, source: string, ageMs: number): boolean;
}

/** The part of a logger that is used. */
export interface LineLog {
  info(fields: object, text: string): void;
}

/** Creates the log of the configurations of one process. */
export function createConfigurationLog(
  log: LineLog,
): ConfigurationLog {
  let known = -1;
  return {
    record: ({ version, routes }, source, ageMs) => {
      if (version === known) return false;
      known = version;
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
