/**
 * Loads the documents of an example deployment as table rows.
 *
 * @module
 */

import { readdirSync, readFileSync } from "node:fs";
import {
  CURRENT_KEY,
  makeDocumentKey,
  PLATFORM_TEAM,
} from "@dotterelmoor/config.changing";
import type { DocumentRowValue } from "@dotterelmoor/config.changing";
import {
  formatDocumentErrors,
  parsePlatformDocument,
  parseTeamDocument,
} from "@dotterelmoor/config.document";
import type {
  JsonValue,
  PlatformDocument,
  TeamDocument,
} from "@dotterelmoor/core.types";

const EXAMPLES = new URL("../../../../examples/", import.meta.url);

/** Name of an example deployment, a directory under `examples/`. */
export type ExampleName = "consortium" | "hnojovka";

/** Parsed documents of an example and the table rows that contain them. */
export interface ExampleRows {
  readonly platform: PlatformDocument;
  readonly teams: readonly TeamDocument[];
  /** Rows by key. */
  readonly rows: Readonly<Record<string, JsonValue>>;
}

/** Options of `loadExampleRows`. */
export interface LoadExampleRowsOptions {
  /** Teams to load; all by default. */
  readonly teams?: readonly string[];
  /** Transforms the text of a document before it is parsed. */
  readonly edit?: (team: string, text: string) => string;
}

/**
 * Loads an example as table rows with configuration sequence number 1. Throws
 * if a document is invalid.
 */
export function loadExampleRows(
  example: ExampleName,
  options: LoadExampleRowsOptions = {},
): ExampleRows {
  const directory = new URL(`${example}/`, EXAMPLES);
  const edit = options.edit ?? ((_team, text) => text);
  const readText = (team: string) =>
    edit(team, readFileSync(new URL(`${team}.yaml`, directory), "utf8"));
  const platformText = readText(PLATFORM_TEAM);
  const platform = parsePlatformDocument(platformText, {
    file: `${PLATFORM_TEAM}.yaml`,
  }).mapErr(formatDocumentErrors).unwrap();
  const rows: Record<string, JsonValue> = {
    [CURRENT_KEY]: 1,
    [makeDocumentKey(PLATFORM_TEAM)]: makeRow(
      PLATFORM_TEAM,
      platformText,
      platform,
    ),
  };
  const teams = listTeams(directory, options.teams).map((team) => {
    const text = readText(team);
    const document = parseTeamDocument(text, { file: `${team}.yaml`, platform })
      .mapErr(formatDocumentErrors).unwrap();
    rows[makeDocumentKey(team)] = makeRow(team, text, document);
    return document;
  });
  return { platform, teams, rows };
}

function listTeams(directory: URL, selected?: readonly string[]): string[] {
  return readdirSync(directory)
    .map((file) => file.replace(/\.yaml$/, ""))
    .filter((team) => team !== PLATFORM_TEAM)
    .filter((team) => selected === undefined || selected.includes(team));
}

function makeRow(
  team: string,
  text: string,
  document: PlatformDocument | TeamDocument,
): JsonValue {
  const row: DocumentRowValue = {
    team,
    version: 1,
    text,
    document,
    changeId: `initial-${team}`,
    who: "initial",
    whenMs: 0,
  };
  return row as unknown as JsonValue;
}
