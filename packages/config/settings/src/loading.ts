/**
 * Loads and validates settings. Flags override environment variables, which
 * override the file.
 *
 * @module
 */
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import type { z } from "zod";
import type {
  EntrySettings,
  ListenerSettings,
  OperatorTokenSettings,
  SettingsError,
} from "./entry_settings.ts";
import {
  operatorTokensSchema,
  parseAddress,
  settingsSchema,
  tokenSchema,
} from "./schema.ts";
import type { RawSettings } from "./schema.ts";
import { loadSources, loadText, loadYaml } from "./sources.ts";
import type { GatheredSettings, SettingsInput } from "./sources.ts";

/** Options of `loadEntrySettings`. */
export interface LoadEntrySettingsOptions {
  /** Arguments after the program name. */
  readonly argv: readonly string[];
  readonly env: Readonly<Record<string, string | undefined>>;
  /** Reads a whole file as UTF-8; throws if it cannot be read. */
  readonly readFile: (path: string) => string;
}

/** Loads and validates all settings; reports all errors at once. */
export function loadEntrySettings(
  options: LoadEntrySettingsOptions,
): Result<EntrySettings, SettingsError[]> {
  const gathered = loadSources(options);
  const errors = [...gathered.errors];
  const parsed = settingsSchema.safeParse(gathered.values);
  if (!parsed.success) {
    errors.push(
      ...parsed.error.issues.flatMap((issue) =>
        describeSettingIssue(issue, gathered)
      ),
    );
  }
  const { values } = gathered;
  const peerToken = loadPeerToken(values.peerTokenFile, { ...options, errors });
  const operatorTokens = loadOperatorTokens(values.operatorTokensFile, {
    ...options,
    errors,
  });
  if (!parsed.success || errors.length > 0) return Err(errors);
  return Ok(buildSettings(parsed.data, {
    peerToken: peerToken!,
    operatorTokens: operatorTokens!,
    printSettings: gathered.printSettings,
  }));
}

function buildSettings(
  raw: RawSettings,
  loaded: Pick<
    EntrySettings,
    "peerToken" | "operatorTokens" | "printSettings"
  >,
): EntrySettings {
  const {
    peerTokenFile: _,
    operatorTokensFile: __,
    metrics,
    ...otherSettings
  } = raw;
  return {
    ...otherSettings,
    ...loaded,
    callers: buildListener(raw.callers),
    peers: buildListener(raw.peers),
    operators: buildListener(raw.operators),
    ...(metrics === undefined ? {} : { metrics: parseAddress(metrics)! }),
  };
}

function buildListener(raw: RawSettings["peers"]): ListenerSettings {
  const { listen, advertise } = raw;
  return {
    ...parseAddress(listen)!,
    ...(advertise === undefined ? {} : { advertise }),
  };
}

type LoadOptions = SettingsInput & { readonly errors: SettingsError[] };

function loadPeerToken(
  file: unknown,
  options: LoadOptions,
): string | undefined {
  const setting = "peerTokenFile";
  if (typeof file !== "string" || file === "") return undefined;
  const text = loadText(file, { ...options, setting });
  if (text === undefined) return undefined;
  const parsed = tokenSchema.safeParse(text.trim());
  if (parsed.success) return parsed.data;
  options.errors.push(...parsed.error.issues.map((issue): SettingsError => ({
    code: "setting-invalid",
    setting,
    source: file,
    message: `File ${file} has no valid token, expected ${issue.message}`,
    hint: "Write a single, randomly generated token to the file",
  })));
  return undefined;
}

function loadOperatorTokens(
  file: unknown,
  options: LoadOptions,
): OperatorTokenSettings[] | undefined {
  const setting = "operatorTokensFile";
  if (typeof file !== "string" || file === "") return undefined;
  const errorCount = options.errors.length;
  const value = loadYaml(file, { ...options, setting });
  if (options.errors.length > errorCount) return undefined;
  const parsed = operatorTokensSchema.safeParse(value);
  if (parsed.success) {
    const tokens = new Set(parsed.data.map(({ token }) => token));
    if (tokens.size === parsed.data.length) return parsed.data;
    options.errors.push({
      code: "setting-invalid",
      setting,
      source: file,
      message: `File ${file} contains the same token twice`,
      hint: "Give each name its own token",
    });
    return undefined;
  }
  // Only paths and expectations are reported: the values may be tokens.
  options.errors.push(...parsed.error.issues.map((issue): SettingsError => ({
    code: "setting-invalid",
    setting,
    source: file,
    message: `Entry ${issue.path.join(".") || "list"} in ${file} is invalid, ` +
      `expected ${describeExpected(issue)}`,
    hint: "Write a list of entries with name, token, teams and role",
  })));
  return undefined;
}

function describeSettingIssue(
  issue: z.core.$ZodIssue,
  gathered: GatheredSettings,
): SettingsError[] {
  const setting = issue.path.filter((part) => typeof part === "string")
    .join(".");
  const source = gathered.sources.get(setting) ?? gathered.file ??
    "no settings file";
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((key): SettingsError => ({
      code: "setting-unknown",
      setting: setting === "" ? key : `${setting}.${key}`,
      source,
      message: `Setting ${setting === "" ? key : `${setting}.${key}`} is ` +
        "unknown",
      hint: "Remove the setting or correct its spelling",
    }));
  }
  const missing = getValueAt(gathered.values, issue.path) === undefined;
  return [{
    code: missing ? "setting-missing" : "setting-invalid",
    setting,
    source,
    message: missing
      ? `Setting ${setting} is missing`
      : `Setting ${setting} is invalid, expected ${describeExpected(issue)}`,
    hint: `Set ${setting} in the settings file, by variable or by flag`,
  }];
}

function getValueAt(
  values: Record<string, unknown>,
  path: readonly PropertyKey[],
): unknown {
  return path.reduce<unknown>(
    (value, key) => (value as Record<PropertyKey, unknown> | undefined)?.[key],
    values,
  );
}

function describeExpected(issue: z.core.$ZodIssue): string {
  if (issue.code === "invalid_value") {
    return `one of ${issue.values.map(String).join(", ")}`;
  }
  if (issue.code === "too_small") return `at least ${issue.minimum}`;
  if (issue.code === "too_big") return `at most ${issue.maximum}`;
  if (issue.code === "invalid_type") return `a value of type ${issue.expected}`;
  return issue.message;
}
