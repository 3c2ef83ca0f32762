/**
 * Parsing and validation of the YAML documents of teams and of the platform.
 * Errors carry their position in the text.
 *
 * @module
 */

export { formatDocumentErrors } from "./document_error.ts";
export type { DocumentError, DocumentErrorCode } from "./document_error.ts";
export { parsePlatformDocument, parseTeamDocument } from "./parsing.ts";
export type {
  ParsePlatformDocumentOptions,
  ParseTeamDocumentOptions,
} from "./parsing.ts";
export { checkAgainstPlatform } from "./platform_checks.ts";
export type { CheckDocumentOptions } from "./platform_checks.ts";
export { checkAgainstTeams } from "./team_checks.ts";
