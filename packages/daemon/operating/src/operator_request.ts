/**
 * Reads and validates requests of operators.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { makeRequestError } from "./operator_error.ts";
import type { OperatorError } from "./operator_error.ts";

/** Fields of a request: the body of a PUT or POST, the query of other methods. */
export type Fields = Readonly<Record<string, unknown>>;

/** Maximum length of the reason in an audit row. */
const MAX_WHY_LENGTH = 1_000;

/**
 * A body above the limit is read and discarded up to this multiple of the limit,
 * because a client that is still sending may not see an early answer.
 */
const DISCARD_FACTOR = 8;

/** Patterns of names that become parts of table keys. */
export const NAME_PATTERNS = {
  changeId: /^[A-Za-z0-9_-]{8,64}$/,
  fingerprint: /^[A-Za-z0-9_-]{1,128}$/,
  instance: /^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/,
  name: /^[a-z][a-z0-9-]{0,62}$/,
} as const;

/** Reads a body that is a JSON object of at most `maxBytes`. */
export async function readJsonBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Result<Fields, OperatorError>> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request) {
    size += (chunk as Buffer).length;
    if (size <= maxBytes) chunks.push(chunk as Buffer);
    // Leaving the loop destroys the request, so that no answer is sent.
    if (size > maxBytes * DISCARD_FACTOR) break;
  }
  if (size > maxBytes) {
    return Err({
      code: "body-too-large",
      message: `The body is longer than ${maxBytes} bytes`,
      hint: "Send a smaller document",
    });
  }
  try {
    const value: unknown = JSON.parse(Buffer.concat(chunks).toString("utf8"));
    if (typeof value === "object" && value !== null && !Array.isArray(value)) {
      return Ok(value as Fields);
    }
  } catch {
    // Handled below like any other body that is not a JSON object.
  }
  return Err(
    makeRequestError("The body is not a JSON object", "Send a JSON object"),
  );
}

/** Parses a field that must be a non-blank string. */
export function parseText(
  fields: Fields,
  name: string,
): Result<string, OperatorError> {
  const value = fields[name];
  return typeof value === "string" && value.trim() !== ""
    ? Ok(value)
    : Err(makeRequestError(`Field ${name} is missing`, `Send ${name} as text`));
}

/** Parses a field that must be a non-negative integer. */
export function parseCount(
  fields: Fields,
  name: string,
): Result<number, OperatorError> {
  const value = fields[name];
  return typeof value === "number" && Number.isSafeInteger(value) && value >= 0
    ? Ok(value)
    : Err(makeRequestError(
      `Field ${name} is not a non-negative integer`,
      `Send ${name} as a number`,
    ));
}

/** Fields that every change requires. */
export interface ChangeFields {
  readonly changeId: string;
  readonly why: string;
}

/** Parses the fields that every change requires. */
export function parseChangeFields(
  fields: Fields,
): Result<ChangeFields, OperatorError> {
  return parseText(fields, "changeId").andThen((changeId) => {
    if (!NAME_PATTERNS.changeId.test(changeId)) {
      return Err(makeRequestError(
        "Field changeId has an invalid format",
        "Send 8 to 64 letters, digits, hyphens and underscores",
      ));
    }
    return parseText(fields, "why").andThen((why) =>
      why.length <= MAX_WHY_LENGTH ? Ok({ changeId, why }) : Err(
        makeRequestError(
          `Field why is longer than ${MAX_WHY_LENGTH} characters`,
          "Shorten the reason",
        ),
      )
    );
  });
}

/** Checks a path segment that becomes part of a table key. */
export function checkName(
  value: string,
  form: keyof typeof NAME_PATTERNS,
): Result<string, OperatorError> {
  return NAME_PATTERNS[form].test(value) ? Ok(value) : Err(makeRequestError(
    `The path has an invalid ${form}`,
    "Check the spelling of the path",
  ));
}
