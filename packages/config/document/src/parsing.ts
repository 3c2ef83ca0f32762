/**
 * Parses documents and gathers all errors at once.
 *
 * @module
 */
import type { PlatformDocument, TeamDocument } from "@dotterelmoor/core.types";
import type { Result } from "ts-results-es";
import type { DocumentError } from "./document_error.ts";

/** Options of `parsePlatformDocument`. */
export interface ParsePlatformDocumentOptions {
  /** File name that errors carry. */
  readonly file: string;
}

/** Options of `parseTeamDocument`. */
export interface ParseTeamDocumentOptions {
  /** File name that errors carry. */
  readonly file: string;
  /** Enables the checks of regions and limits. */
  readonly platform?: PlatformDocument;
}

/** Parses and checks a team's document. */
export function parseTeamDocument(
  _text: string,
  _options: ParseTeamDocumentOptions,
): Result<TeamDocument, DocumentError[]> {
  throw new Error("Not implemented");
}

/** Parses and checks the platform's document. */
export function parsePlatformDocument(
  _text: string,
  _options: ParsePlatformDocumentOptions,
): Result<PlatformDocument, DocumentError[]> {
  throw new Error("Not implemented");
}
