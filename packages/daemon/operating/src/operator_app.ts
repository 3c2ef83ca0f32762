/**
 * HTTP interface for operators.
 *
 * @module
 */
import Koa from "koa";
import type { Context } from "koa";
import { Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { findToken } from "./access.ts";
import type { OperatorActions, OperatorToken } from "./operator_actions.ts";
import { ERROR_STATUS } from "./operator_error.ts";
import type { OperatorError } from "./operator_error.ts";
import { readJsonBody } from "./operator_request.ts";
import type { Fields } from "./operator_request.ts";
import { ROUTES } from "./routes.ts";
import { findRoute } from "./routing.ts";
import type { OperatorAnswer } from "./routing.ts";

/** Limits of the operators' interface. */
export interface OperatorLimits {
  readonly maxBodyBytes: number;
  /** Maximum number of changes in one answer. */
  readonly maxHistory: number;
}

/** Receives a line for each accepted change and each internal error. */
export interface OperatorLog {
  info(fields: Readonly<Record<string, unknown>>, message: string): void;
  warn(fields: Readonly<Record<string, unknown>>, message: string): void;
  error(fields: Readonly<Record<string, unknown>>, message: string): void;
}

/** Options of `createOperatorApp`. */
export interface OperatorAppOptions {
  readonly actions: OperatorActions;
  readonly tokens: readonly OperatorToken[];
  readonly limits?: Partial<OperatorLimits>;
  /** A `pino` logger can be passed. */
  readonly log: OperatorLog;
  /** Wall clock for audit rows; defaults to `Date.now`. */
  readonly wallClockMs?: () => number;
}

const DEFAULT_LIMITS: OperatorLimits = {
  maxBodyBytes: 512 * 1024,
  maxHistory: 200,
};

/**
 * Creates the HTTP interface for operators. The HTTP server that runs it must
 * limit header sizes, connections and request times.
 */
export function createOperatorApp(options: OperatorAppOptions): Koa {
  const app = new Koa();
  // Koa emits connection errors here; without a listener, it prints them.
  app.on("error", (error: Error) => {
    options.log.warn({ error: error.message }, "[config] Connection failed");
  });
  app.use(async (context) => {
    context.set("cache-control", "no-store");
    try {
      const result = await answerRequest(context, options);
      if (result.isOk()) writeAnswer(context, result.value);
      else writeError(context, result.error);
    } catch (error) {
      options.log.error(
        { path: context.path, error: String(error) },
        "[config] Operator request failed",
      );
      writeError(context, {
        code: "internal",
        message: "The request failed because of an internal error",
        hint: "See the log of the entry",
      });
    }
  });
  return app;
}

async function answerRequest(
  context: Context,
  options: OperatorAppOptions,
): Promise<Result<OperatorAnswer, OperatorError>> {
  const { actions, log } = options;
  const limits = { ...DEFAULT_LIMITS, ...options.limits };
  const token = findToken(context.get("authorization"), options.tokens);
  if (token.isErr()) return token;
  const { method, path } = context;
  const found = findRoute(ROUTES, { method, path });
  if (found.isErr()) return found;
  const query = new URLSearchParams(context.querystring);
  const fields = await readFields(context, { query, limits });
  if (fields.isErr()) return fields;
  const result = await found.value.route.answer({
    actions,
    method,
    token: token.value,
    params: found.value.params,
    query,
    fields: fields.value,
    whenMs: (options.wallClockMs ?? Date.now)(),
    maxHistory: limits.maxHistory,
  });
  const sequence = result.isOk() ? result.value.sequence : undefined;
  if (sequence !== undefined) {
    actions.notifyChange?.(sequence);
    log.info(
      { sequence, who: token.value.name, method, path },
      "[config] Accepted change",
    );
  }
  return result;
}

function readFields(
  context: Context,
  options: { readonly query: URLSearchParams; readonly limits: OperatorLimits },
): Promise<Result<Fields, OperatorError>> {
  return context.method === "PUT" || context.method === "POST"
    ? readJsonBody(context.req, options.limits.maxBodyBytes)
    : Promise.resolve(Ok(Object.fromEntries(options.query)));
}

function writeAnswer(context: Context, answer: OperatorAnswer): void {
  const { body, text } = answer;
  context.status = 200;
  const type = context.accepts(
    "application/json",
    "application/yaml",
    "text/yaml",
  );
  if (text !== undefined && typeof type === "string" && type.endsWith("yaml")) {
    const { version } = body as { readonly version: number };
    context.set("dotterelmoor-version", String(version));
    context.type = "application/yaml";
    context.body = text;
    return;
  }
  context.type = "application/json";
  context.body = JSON.stringify(body);
}

function writeError(context: Context, error: OperatorError): void {
  context.status = ERROR_STATUS[error.code];
  if (error.code === "token-invalid") {
    context.set("www-authenticate", "Bearer");
  }
  context.type = "application/json";
  context.body = JSON.stringify(error);
}
