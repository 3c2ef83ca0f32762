/**
 * Reads document files and validates them without contacting an entry.
 *
 * @module
 */
import {
  checkAgainstTeams,
  parsePlatformDocument,
  parseTeamDocument,
} from "@dotterelmoor/config.document";
import type { DocumentError } from "@dotterelmoor/config.document";
import { PLATFORM_TEAM } from "@dotterelmoor/config.changing";
import type { PlatformDocument, TeamDocument } from "@dotterelmoor/core.types";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { readNamedFile } from "./ctl_command.ts";
import type { CtlContext } from "./ctl_command.ts";

/** A valid document that was read from a file. */
export interface LocalDocument {
  readonly team: string;
  readonly text: string;
  readonly document: TeamDocument | PlatformDocument;
}

/** Options of `loadLocalDocument`. */
export interface LoadLocalDocumentOptions {
  readonly file: string;
  /** File of the platform document, to check regions and limits against. */
  readonly platformFile?: string;
  /** Files of other teams' documents, to check services and shares against. */
  readonly teamFiles?: readonly string[];
}

/**
 * Loads a document from a file and validates it. The result holds every error
 * of the documents that were read. Throws a `UsageError` if a file cannot be
 * read.
 */
export function loadLocalDocument(
  context: CtlContext,
  options: LoadLocalDocumentOptions,
): Result<LocalDocument, DocumentError[]> {
  const { file, platformFile, teamFiles = [] } = options;
  const text = readNamedFile(context, file);
  if (isPlatformText(text)) {
    return parsePlatformDocument(text, { file })
      .map((document) => ({ team: PLATFORM_TEAM, text, document }));
  }
  const platform = platformFile === undefined
    ? Ok(undefined)
    : parsePlatformDocument(readNamedFile(context, platformFile), {
      file: platformFile,
    });
  const others = teamFiles.filter((other) => other !== file).map((other) =>
    parseTeamDocument(readNamedFile(context, other), { file: other })
  );
  const own = parseTeamDocument(text, {
    file,
    ...(platform.isOk() && platform.value !== undefined
      ? { platform: platform.value }
      : {}),
  });
  const errors = [platform, ...others, own].flatMap((result) =>
    result.isErr() ? result.error : []
  );
  if (own.isErr() || errors.length > 0) return Err(errors);
  const document = own.value;
  const conflicts = checkAgainstTeams(
    document,
    others.map((other) => other.unwrap()),
    { file, text },
  );
  if (conflicts.length > 0) return Err(conflicts);
  return Ok({ team: document.team, text, document });
}

/** Only the platform document has a top-level `regions` key and no `team`. */
function isPlatformText(text: string): boolean {
  return /^regions:/m.test(text) && !/^team:/m.test(text);
}
