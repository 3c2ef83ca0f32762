/**
 * Team and platform documents in YAML with located errors.
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
