/**
 * Checks of a team's document against the documents of other teams.
 *
 * @module
 */
import type { TeamDocument } from "@dotterelmoor/core.types";
import type { DocumentError } from "./document_error.ts";

/** Options of `checkAgainstTeams`. */
export interface CheckAgainstTeamsOptions {
  /** File name that errors carry; defaults to the team's name. */
  readonly file?: string;
  /** Text of the document, with which errors carry lines. */
  readonly text?: string;
}

/** Finds services that another team owns and links that are oversubscribed. */
export function checkAgainstTeams(
  _document: TeamDocument,
  _otherTeams: readonly TeamDocument[],
  _options: CheckAgainstTeamsOptions = {},
): DocumentError[] {
  throw new Error("Not implemented");
}
