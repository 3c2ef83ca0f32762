/**
 * Renders settings and their errors for people, without secret values.
 *
 * @module
 */
import type { EntrySettings, SettingsError } from "./entry_settings.ts";

/** Renders settings as YAML without secret values. */
export function renderEntrySettings(_settings: EntrySettings): string {
  throw new Error("Not implemented");
}

/** Renders errors as text, one block of two lines for each. */
export function formatSettingsErrors(
  _errors: readonly SettingsError[],
): string {
  throw new Error("Not implemented");
}

/** Describes every flag with its variable and setting. */
export function describeEntryFlags(): string {
  throw new Error("Not implemented");
}
