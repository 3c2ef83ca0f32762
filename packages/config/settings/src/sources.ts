/**
 * Collects settings from the file, environment variables and flags.
 *
 * @module
 */
import { parseArgs } from "node:util";
import { parseDocument } from "yaml";
import type { SettingsError } from "./entry_settings.ts";
import { makeFlag, makeVariable, SETTINGS } from "./flags.ts";

/** Prefix of the environment variables of dotterelmoor-ctl. */
const CTL_VARIABLE_PREFIX = "DOTTERELMOOR_CTL_";

/** Unvalidated settings and the source of each. */
export interface GatheredSettings {
  /** Nested as in the YAML file. */
  readonly values: Record<string, unknown>;
  /** Flag or variable by setting name; settings from the file are absent. */
  readonly sources: ReadonlyMap<string, string>;
  /** Path of the settings file, if one was given. */
  readonly file?: string;
  /** True if the flag `--print-settings` was given. */
  readonly printSettings: boolean;
  readonly errors: readonly SettingsError[];
}

/** Inputs that settings are collected from. */
export interface SettingsInput {
  /** Arguments after the program name. */
  readonly argv: readonly string[];
  readonly env: Readonly<Record<string, string | undefined>>;
  /** Reads a whole file as UTF-8; throws if it cannot be read. */
  readonly readFile: (path: string) => string;
}

/** Collects settings; flags override variables, which override the file. */
export function loadSources(input: SettingsInput): GatheredSettings {
  const flags = parseFlags(input.argv);
  const errors = [...flags.errors];
  const file = flags.values.get("settings") ?? input.env.DOTTERELMOOR_SETTINGS;
  const values = file === undefined
    ? {}
    : loadYamlMap(file, { readFile: input.readFile, errors });
  const sources = new Map<string, string>();
  for (const { setting, list } of SETTINGS) {
    const variable = makeVariable(setting);
    const flag = makeFlag(setting);
    const text = flags.values.get(flag) ?? input.env[variable];
    if (text === undefined) continue;
    sources.set(
      setting,
      flags.values.has(flag) ? `--${flag}` : variable,
    );
    setPath(values, {
      path: setting.split("."),
      value: list ? splitList(text) : text,
    });
  }
  errors.push(...findUnknownVariables(input.env));
  return {
    values,
    sources,
    ...(file === undefined ? {} : { file }),
    printSettings: flags.printSettings,
    errors,
  };
}

function parseFlags(argv: readonly string[]) {
  const errors: SettingsError[] = [];
  const values = new Map<string, string>();
  const names = new Set([
    "settings",
    ...SETTINGS.map((s) => makeFlag(s.setting)),
  ]);
  let printSettings = false;
  const { tokens } = parseArgs({
    args: [...argv],
    strict: false,
    tokens: true,
    options: Object.fromEntries(
      [...names].map((name) => [name, { type: "string" as const }]),
    ),
  });
  for (const token of tokens) {
    if (token.kind === "option-terminator") continue;
    if (token.kind === "positional") {
      errors.push(makeFlagError(token.value, "no arguments without a flag"));
    } else if (token.name === "print-settings" && token.value === undefined) {
      printSettings = true;
    } else if (!names.has(token.name)) {
      errors.push(makeFlagError(token.rawName, "a known flag"));
    } else if (token.value === undefined) {
      errors.push(makeFlagError(token.rawName, "a value after the flag"));
    } else {
      values.set(token.name, token.value);
    }
  }
  return { errors, values, printSettings };
}

function makeFlagError(flag: string, expected: string): SettingsError {
  return {
    code: "flag-invalid",
    setting: flag,
    source: "flags",
    message: `Flag ${flag} is invalid, expected ${expected}`,
    hint: "Run with --help to list all flags",
  };
}

/** Loads a YAML file with a map; on failure adds an error and returns `{}`. */
function loadYamlMap(
  file: string,
  options: {
    readonly readFile: (path: string) => string;
    readonly errors: SettingsError[];
  },
): Record<string, unknown> {
  const value = loadYaml(file, { ...options, setting: "settings" });
  if (value === undefined || value === null) return {};
  if (typeof value === "object" && !Array.isArray(value)) {
    return value as Record<string, unknown>;
  }
  options.errors.push({
    code: "syntax",
    setting: "settings",
    source: file,
    message: `File ${file} does not contain a map of settings`,
    hint: "Write one setting per line, such as region: southeast",
  });
  return {};
}

/**
 * Loads a YAML file. If it cannot be read or parsed, adds an error and returns
 * undefined.
 */
export function loadYaml(
  file: string,
  options: {
    readonly readFile: (path: string) => string;
    readonly errors: SettingsError[];
    readonly setting: string;
  },
): unknown {
  const text = loadText(file, options);
  if (text === undefined) return undefined;
  const document = parseDocument(text, {
    prettyErrors: false,
    stringKeys: true,
  });
  let reason = document.errors[0]?.code as string | undefined;
  try {
    if (reason === undefined) return document.toJS({ maxAliasCount: 0 });
  } catch {
    reason = "ALIAS";
  }
  options.errors.push({
    code: "syntax",
    setting: options.setting,
    source: file,
    // Omits the parser's message, which may quote a token from the text.
    message: `File ${file} is not valid YAML (${reason})`,
    hint: "Correct the syntax of the file; aliases are not supported",
  });
  return undefined;
}

/** Loads a text file; on failure adds an error and returns undefined. */
export function loadText(
  file: string,
  options: {
    readonly readFile: (path: string) => string;
    readonly errors: SettingsError[];
    readonly setting: string;
  },
): string | undefined {
  try {
    return options.readFile(file);
  } catch (error) {
    const code = (error as { code?: unknown }).code;
    options.errors.push({
      code: "file-unreadable",
      setting: options.setting,
      source: file,
      message: `Cannot read file ${file}${code ? ` (${String(code)})` : ""}`,
      hint: "Check the path and its permissions",
    });
    return undefined;
  }
}

function findUnknownVariables(env: SettingsInput["env"]): SettingsError[] {
  const knownVariables = new Set([
    "DOTTERELMOOR_SETTINGS",
    ...SETTINGS.map(({ setting }) => makeVariable(setting)),
  ]);
  return Object.keys(env)
    .filter((name) =>
      name.startsWith("DOTTERELMOOR_") &&
      !name.startsWith(CTL_VARIABLE_PREFIX) && !knownVariables.has(name)
    )
    .map((name): SettingsError => ({
      code: "setting-unknown",
      setting: name,
      source: name,
      message: `Variable ${name} does not match any setting`,
      hint: "Remove the variable or correct its spelling",
    }));
}

function splitList(text: string): string[] {
  return text.split(",").map((part) => part.trim()).filter((part) => part);
}

function setPath(
  values: Record<string, unknown>,
  options: { readonly path: readonly string[]; readonly value: unknown },
): void {
  const [head, ...rest] = options.path;
  if (rest.length === 0) {
    values[head!] = options.value;
    return;
  }
  const inner = values[head!];
  // A flag or variable of a nested setting replaces a value in the file that is
  // not a map.
  const next = typeof inner === "object" && inner !== null
    ? inner as Record<string, unknown>
    : {};
  values[head!] = next;
  setPath(next, { path: rest, value: options.value });
}
