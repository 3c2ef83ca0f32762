/**
 * HTTP client of the operators' interface.
 *
 * @module
 */
import type { OperatorError } from "@dotterelmoor/daemon.operating";
import { got, RequestError } from "got";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import type { FailureCode } from "./exit_codes.ts";

/** Error returned by the operators' interface, or by the client itself. */
export interface OperatorFailure extends Omit<OperatorError, "code"> {
  readonly code: FailureCode;
}

/** A request to the operators' interface. */
export interface OperatorRequest {
  readonly method: "GET" | "PUT" | "POST" | "DELETE";
  /** Path relative to the base URL, such as `v1/status`. */
  readonly path: string;
  readonly query?: Readonly<Record<string, string>>;
  readonly body?: unknown;
}

/** Sends requests to the operators' interface. */
export interface OperatorClient {
  send<T>(request: OperatorRequest): Promise<Result<T, OperatorFailure>>;
}

/** Options of `createOperatorClient`. */
export interface OperatorClientOptions {
  readonly url: string;
  readonly token: string;
  readonly timeoutMs?: number;
}

/** Exceeds the time that an entry waits for the table before it responds. */
const DEFAULT_TIMEOUT_MS = 20_000;

/** Error codes after which no byte of the request has been sent. */
const UNSENT_ERROR_CODES: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
]);

/** Creates a client that sends each request once, without retries. */
export function createOperatorClient(
  options: OperatorClientOptions,
): OperatorClient {
  const client = got.extend({
    prefixUrl: options.url,
    headers: { authorization: `Bearer ${options.token}` },
    timeout: { request: options.timeoutMs ?? DEFAULT_TIMEOUT_MS },
    retry: { limit: 0 },
    followRedirect: false,
    throwHttpErrors: false,
  });
  return {
    async send<T>(request: OperatorRequest) {
      const { method, path, query, body } = request;
      try {
        const response = await client(path, {
          method,
          ...(query === undefined ? {} : { searchParams: { ...query } }),
          ...(body === undefined ? {} : { json: body }),
        });
        return parseResponse<T>(response.statusCode, response.body);
      } catch (error) {
        if (!(error instanceof RequestError)) throw error;
        return Err({
          code: UNSENT_ERROR_CODES.has(error.code)
            ? "unreachable"
            : "answer-lost",
          message: `No response from ${options.url} (${error.code})`,
          hint: "Check --operator-url, or use another entry",
        });
      }
    },
  };
}

function parseResponse<T>(
  status: number,
  text: string,
): Result<T, OperatorFailure> {
  const body = parseJson(text);
  if (status === 200 && body !== undefined) return Ok(body as T);
  const failure = body as Partial<OperatorFailure> | undefined;
  if (
    typeof failure?.code === "string" && typeof failure.message === "string" &&
    typeof failure.hint === "string"
  ) return Err(failure as OperatorFailure);
  return Err({
    code: "answer-invalid",
    message: `Cannot parse the response with status ${status}`,
    hint: "Check that --operator-url is the URL of the operators' listener",
  });
}

function parseJson(text: string): object | undefined {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === "object" && value !== null ? value : undefined;
  } catch {
    return undefined;
  }
}
