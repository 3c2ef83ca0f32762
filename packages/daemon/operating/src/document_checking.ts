/**
 * Checks a submitted document against the configuration in force.
 *
 * @module
 */
import {
  getPlatform,
  getRowValue,
  PLATFORM_TEAM,
} from "@dotterelmoor/config.changing";
import type {
  ConfigurationRows,
  DocumentRowValue,
} from "@dotterelmoor/config.changing";
import {
  checkAgainstPlatform,
  checkAgainstTeams,
  parsePlatformDocument,
  parseTeamDocument,
} from "@dotterelmoor/config.document";
import type { DocumentError } from "@dotterelmoor/config.document";
import type { PlatformDocument, TeamDocument } from "@dotterelmoor/core.types";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";

/** A document that is submitted for a team. */
export interface SubmittedText {
  readonly team: string;
  readonly text: string;
}

/** Checks a document against the other documents at one sequence number. */
export function checkSubmittedText(
  submitted: SubmittedText,
  configuration: ConfigurationRows,
): Result<TeamDocument | PlatformDocument, DocumentError[]> {
  return submitted.team === PLATFORM_TEAM
    ? checkPlatformText(submitted.text, configuration)
    : checkTeamText(submitted, configuration);
}

function checkPlatformText(
  text: string,
  configuration: ConfigurationRows,
): Result<PlatformDocument, DocumentError[]> {
  return parsePlatformDocument(text, { file: PLATFORM_TEAM }).andThen(
    (platform) => {
      // A team's document in force must stay valid under the new limits.
      const errors = listTeams(configuration).flatMap((team) =>
        checkAgainstPlatform(team, platform)
      );
      return errors.length > 0 ? Err(errors) : Ok(platform);
    },
  );
}

function checkTeamText(
  submitted: SubmittedText,
  configuration: ConfigurationRows,
): Result<TeamDocument, DocumentError[]> {
  const { team, text } = submitted;
  const platform = getPlatform(configuration.documents);
  return parseTeamDocument(text, { file: team, platform }).andThen(
    (document) => {
      const errors = [
        ...checkTeamName(document, team),
        ...checkAgainstTeams(document, listTeams(configuration), {
          file: team,
          text,
        }),
      ];
      return errors.length > 0 ? Err(errors) : Ok(document);
    },
  );
}

function checkTeamName(document: TeamDocument, team: string): DocumentError[] {
  if (document.team === team) return [];
  return [{
    code: "value-invalid",
    message: `team has ${document.team}, expected ${team}`,
    hint: "Submit the document for the team that it names",
    file: team,
    line: 0,
    column: 0,
    key: "team",
    found: document.team,
    expected: team,
  }];
}

function listTeams(configuration: ConfigurationRows): TeamDocument[] {
  return configuration.documents
    .map((row) => getRowValue<DocumentRowValue>(row))
    .filter((value) => value !== undefined && value.team !== PLATFORM_TEAM)
    .map((value) => value!.document as TeamDocument);
}
