/**
 * Replication of the configuration, and readiness after a cold start.
 *
 * @module
 */

export { createConfigurationReplica } from "./replica.ts";
export type {
  ConfigurationAction,
  ConfigurationEvent,
  ConfigurationReplica,
  ConfigurationReplicaOptions,
  ConfigurationStatus,
  SnapshotSource,
} from "./options.ts";
