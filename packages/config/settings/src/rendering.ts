/**
 * Renders settings, their errors and the help text, without secret values.
 *
 * @module
 */
import { stringify } from "yaml";
import type { EntrySettings, SettingsError } from "./entry_settings.ts";
import { makeFlag, makeVariable, SETTINGS } from "./flags.ts";

/** Replaces secret values in the output. */
const REDACTED = "(set)";

/** Renders settings as YAML without secret values. */
export function renderEntrySettings(settings: EntrySettings): string {
  const { printSettings: _, operatorTokens, ...rest } = settings;
  return stringify({
    ...rest,
    peerToken: REDACTED,
    operatorTokens: operatorTokens.map((entry) => ({
      ...entry,
      token: REDACTED,
    })),
  });
}

/** Formats errors as text, two lines per error. */
export function formatSettingsErrors(
  errors: readonly SettingsError[],
): string {
  return errors.map(({ source, message, code, hint }) =>
    `${source}: ${message} (${code})\n  hint: ${hint}`
  ).join("\n");
}

/** Describes all flags with their variables and settings, for `--help`. */
export function describeEntryFlags(): string {
  const lines = SETTINGS.map(({ setting, help, list }) =>
    [
      `  --${makeFlag(setting)} <value>`,
      `      ${help}${list ? " (comma-separated)" : ""}`,
      `      file: ${setting}  variable: ${makeVariable(setting)}`,
    ].join("\n")
  );
  return [
    "  --settings <file>",
    "      YAML file with settings; flags and variables override it",
    "      variable: DOTTERELMOOR_SETTINGS",
    ...lines,
    "  --print-settings",
    "      Print the settings without secret values and exit",
  ].join("\n");
}
