/**
 * Finds the route of a request.
 *
 * @module
 */
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import type { OperatorActions, OperatorToken } from "./operator_actions.ts";
import { makeNotFoundError, makeRequestError } from "./operator_error.ts";
import type { OperatorError } from "./operator_error.ts";
import type { Fields } from "./operator_request.ts";

/** An authenticated request. */
export interface OperatorRequest {
  readonly actions: OperatorActions;
  readonly method: string;
  readonly token: OperatorToken;
  readonly params: Readonly<Record<string, string>>;
  readonly query: URLSearchParams;
  /** Body of a PUT or POST, query of other methods. */
  readonly fields: Fields;
  readonly whenMs: number;
  readonly maxHistory: number;
}

/** Successful answer to an operator, sent with status 200. */
export interface OperatorAnswer {
  readonly body: unknown;
  /** Text that is sent instead if the client prefers YAML. */
  readonly text?: string;
  /** Sequence number of a committed change. */
  readonly sequence?: number;
}

/** A route and its handler. */
export interface Route {
  readonly method: "GET" | "PUT" | "POST" | "DELETE";
  /** Path; segments that start with `:` match any value. */
  readonly path: string;
  readonly answer: (
    request: OperatorRequest,
  ) => Promise<Result<OperatorAnswer, OperatorError>>;
}

/** Finds the route of a method and path. */
export function findRoute(
  routes: readonly Route[],
  request: { readonly method: string; readonly path: string },
): Result<{ route: Route; params: Record<string, string> }, OperatorError> {
  const parts = splitPath(request.path);
  if (parts === undefined) {
    return Err(
      makeRequestError(
        "The path is malformed",
        "Check the percent-encoding of the path",
      ),
    );
  }
  const matches = routes.flatMap((route) => {
    const params = matchPath(route.path.split("/").slice(1), parts);
    return params === undefined ? [] : [{ route, params }];
  });
  const match = matches.find(({ route }) => route.method === request.method);
  if (match !== undefined) return Ok(match);
  if (matches.length === 0) return Err(makeNotFoundError("such path"));
  const methods = matches.map(({ route }) => route.method).join(", ");
  return Err({
    code: "method-unknown",
    message: `The path does not accept ${request.method}`,
    hint: `Use ${methods}`,
  });
}

function splitPath(path: string): string[] | undefined {
  try {
    return path.split("/").slice(1).map(decodeURIComponent);
  } catch {
    return undefined;
  }
}

function matchPath(
  pattern: readonly string[],
  parts: readonly string[],
): Record<string, string> | undefined {
  if (pattern.length !== parts.length) return undefined;
  const params: Record<string, string> = {};
  for (const [index, part] of pattern.entries()) {
    const value = parts[index]!;
    if (part.startsWith(":")) params[part.slice(1)] = value;
    else if (part !== value) return undefined;
  }
  return params;
}
