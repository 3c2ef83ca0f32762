/**
 * Replication of the configuration, and readiness after a cold start.
 *
 * @module
 */

export { createConfigurationKeeper } from "./replica.ts";
export type {
  ConfigurationAction,
  ConfigurationEvent,
  ConfigurationKeeper,
  ConfigurationKeeperOptions,
  ConfigurationStatus,
  SnapshotSource,
} from "./options.ts";
