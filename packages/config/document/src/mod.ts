/**
 * Team and platform documents in YAML with located errors.
 *
 * @module
 */

export { checkAgainstTeams } from "./team_checks.ts";
export type { CheckAgainstTeamsOptions } from "./team_checks.ts";
export { formatDocumentErrors } from "./document_error.ts";
export type { DocumentError, DocumentErrorCode } from "./document_error.ts";
export { parsePlatformDocument, parseTeamDocument } from "./parsing.ts";
export type {
  ParsePlatformDocumentOptions,
  ParseTeamDocumentOptions,
} from "./parsing.ts";
