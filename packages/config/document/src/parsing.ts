/**
 * Parses and validates documents, and reports all errors at once.
 *
 * @module
 */
import type { PlatformDocument, TeamDocument } from "@dotterelmoor/core.types";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import type { z } from "zod";
import type { DocumentError } from "./document_error.ts";
import { formatPath } from "./finding.ts";
import type { Finding } from "./finding.ts";
import {
  findPlatformDocumentErrors,
  findPlatformViolations,
} from "./platform_checks.ts";
import { platformSchema, teamSchema } from "./schemas.ts";
import { findServiceErrors } from "./service_checks.ts";
import { findShapeErrors } from "./shape_checks.ts";
import { DocumentSource } from "./source.ts";
import { findOversubscribedLinks } from "./team_checks.ts";

/** Options of `parsePlatformDocument`. */
export interface ParsePlatformDocumentOptions {
  /** File name to report in errors. */
  readonly file: string;
}

/** Options of `parseTeamDocument`. */
export interface ParseTeamDocumentOptions {
  /** File name to report in errors. */
  readonly file: string;
  /** Platform's document; regions and limits are not checked without it. */
  readonly platform?: PlatformDocument;
}

/** Parses and validates a team's document. */
export function parseTeamDocument(
  text: string,
  options: ParseTeamDocumentOptions,
): Result<TeamDocument, DocumentError[]> {
  const { file, platform } = options;
  return parseWith(text, {
    file,
    schema: teamSchema,
    find: (root) => [
      ...findServiceErrors(root),
      ...findOversubscribedLinks(root, []),
      ...(platform === undefined ? [] : findPlatformViolations(root, platform)),
    ],
  });
}

/** Parses and validates the platform's document. */
export function parsePlatformDocument(
  text: string,
  options: ParsePlatformDocumentOptions,
): Result<PlatformDocument, DocumentError[]> {
  return parseWith(text, {
    file: options.file,
    schema: platformSchema,
    find: findPlatformDocumentErrors,
  });
}

interface ParseOptions<T> {
  readonly file: string;
  readonly schema: z.ZodType<T>;
  readonly find: (root: unknown) => Finding[];
}

function parseWith<T>(
  text: string,
  options: ParseOptions<T>,
): Result<T, DocumentError[]> {
  const source = new DocumentSource(text, { file: options.file });
  const syntaxErrors = source.listSyntaxErrors();
  if (syntaxErrors.length > 0) return Err(syntaxErrors);
  const root = source.getValue();
  const findings = removeRepeatedPaths([
    ...findShapeErrors(options.schema, root),
    ...options.find(root),
  ]);
  if (findings.length > 0) {
    const errors = findings.map((finding) => source.locateFinding(finding));
    return Err(errors.sort((a, b) => a.line - b.line || a.column - b.column));
  }
  return Ok(options.schema.parse(root));
}

/** Keeps the first finding of each path; later ones have the same cause. */
function removeRepeatedPaths(findings: readonly Finding[]): Finding[] {
  const seen = new Set<string>();
  return findings.filter((finding) => {
    const key = formatPath(finding.path);
    const first = !seen.has(key);
    seen.add(key);
    return first;
  });
}
