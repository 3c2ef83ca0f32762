/**
 * Configuration versions: monotonic apply, spread and the start-up rule.
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
