/**
 * Loads settings: flags override the environment, which overrides the file.
 *
 * @module
 */
import type { Result } from "ts-results-es";
import type { EntrySettings, SettingsError } from "./entry_settings.ts";

/** Options of `loadEntrySettings`. */
export interface LoadEntrySettingsOptions {
  /** Arguments after the program name. */
  readonly argv: readonly string[];
  readonly env: Readonly<Record<string, string | undefined>>;
  /** Reads a whole file as UTF-8; throws when it cannot. */
  readonly readFile: (path: string) => string;
}

/** Loads and checks all settings; reports every error at once. */
export function loadEntrySettings(
  _options: LoadEntrySettingsOptions,
): Result<EntrySettings, SettingsError[]> {
  throw new Error("Not implemented");
}
