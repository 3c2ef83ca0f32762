/**
 * Gathers settings from the file, the environment and the flags.
 *
 * @module
 */
import { parseArgs } from "node:util";
import { parseDocument } from "yaml";
import type { SettingsError } from "./entry_settings.ts";
import { makeFlag, makeVariable, SETTINGS } from "./flags.ts";

/** Prefix of the variables of dotterelmoor-ctl. */
const COMMAND_PREFIX = "DOTTERELMOOR_CTL_";

/** Settings as gathered, with the source of each. */
export interface GatheredSettings {
  readonly values: Record<string, unknown>;
  /** Source by setting name; settings of the file are not listed. */
  readonly sources: ReadonlyMap<string, string>;
  readonly file?: string;
  readonly printSettings: boolean;
  readonly errors: readonly SettingsError[];
}

/** Where settings come from. */
export interface SettingsInput {
  readonly argv: readonly string[];
  readonly env: Readonly<Record<string, string | undefined>>;
  readonly readFile: (path: string) => string;
}

/** Gathers settings; flags override variables, which override the file. */
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
    message: `Flag ${flag} is wrong, expected ${expected}`,
    hint: "Run with --help to see every flag",
  };
}

/** Loads a YAML file that holds a map; adds to the errors when it does not. */
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
    message: `File ${file} holds no map of settings`,
    hint: "Write one setting on each line, such as region: southeast",
  });
  return {};
}

/** Loads a YAML file; adds to the errors when it cannot be read. */
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
    // The parser's message may quote the text, which may hold a token.
    message: `File ${file} is not valid YAML (${reason})`,
    hint: "Correct the syntax of the file; aliases are refused",
  });
  return undefined;
}

/** Loads a text file; adds to the errors when it cannot be read. */
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
  const known = new Set([
    "DOTTERELMOOR_SETTINGS",
    ...SETTINGS.map(({ setting }) => makeVariable(setting)),
  ]);
  return Object.keys(env)
    .filter((name) =>
      name.startsWith("DOTTERELMOOR_") &&
      !name.startsWith(COMMAND_PREFIX) && !known.has(name)
    )
    .map((name): SettingsError => ({
      code: "setting-unknown",
      setting: name,
      source: name,
      message: `Variable ${name} names no setting`,
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
  // A value of another type in the file gives way to the flag or variable.
  const next = typeof inner === "object" && inner !== null
    ? inner as Record<string, unknown>
    : {};
  values[head!] = next;
  setPath(next, { path: rest, value: options.value });
}
