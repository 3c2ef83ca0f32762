/**
 * Table rows for an example's documents.
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

/** An example deployment under `examples/`. */
export type ExampleName = "consortium" | "hnojovka";

/** Documents of an example and the rows that hold them. */
export interface ExampleRows {
  readonly platform: PlatformDocument;
  readonly teams: readonly TeamDocument[];
  readonly rows: Readonly<Record<string, JsonValue>>;
}

/** Options of `loadExampleRows`. */
export interface LoadExampleRowsOptions {
  /** Teams to load; all when absent. */
  readonly teams?: readonly string[];
  /** Changes a document's text before it is parsed. */
  readonly edit?: (team: string, text: string) => string;
}

/** Loads an example as the rows of a table at sequence number 1. */
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

function listTeams(directory: URL, wanted?: readonly string[]): string[] {
  return readdirSync(directory)
    .map((file) => file.replace(/\.yaml$/, ""))
    .filter((team) => team !== PLATFORM_TEAM)
    .filter((team) => wanted === undefined || wanted.includes(team));
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
