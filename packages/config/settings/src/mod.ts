/**
 * Settings of the entry daemon from a YAML file, environment variables and
 * flags.
 *
 * @module
 */

export { SETTINGS_EXIT_CODE } from "./entry_settings.ts";
export type {
  EntrySettings,
  ListenerSettings,
  LogLevel,
  OperatorRole,
  OperatorTokenSettings,
  SettingsError,
} from "./entry_settings.ts";
export { loadEntrySettings } from "./loading.ts";
export type { LoadEntrySettingsOptions } from "./loading.ts";
export {
  describeEntryFlags,
  formatSettingsErrors,
  renderEntrySettings,
} from "./rendering.ts";
