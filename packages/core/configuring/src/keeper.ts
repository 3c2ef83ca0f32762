/**
 * The configuration keeper.
 *
 * @module
 */

import type {
  ConfigurationKeeper,
  ConfigurationKeeperOptions,
} from "./options.ts";

/** Creates the configuration keeper of one entry process. */
export function createConfigurationKeeper(
  _options: ConfigurationKeeperOptions,
): ConfigurationKeeper {
  throw new Error("Cannot create a configuration keeper yet");
}
