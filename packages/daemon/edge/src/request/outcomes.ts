/**
 * The outcomes of a caller's request, and the HTTP answer to each.
 *
 * @module
 */

import type { OutgoingHttpHeaders, ServerResponse } from "node:http";
import type { HeaderMap } from "@dotterelmoor/core.types";
import { createHeaderMap } from "@dotterelmoor/network.backend";

/** Time in milliseconds after which callers may retry when an entry is shutting
 * down; they reach another entry on a new connection. */
export const LEAVING_RETRY_MS = 20;

/** Why a request was not run by any server. */
export type NotRunReason =
  | "configuration-unconfirmed"
  | "leaving"
  | "no-configuration"
  | "no-memory"
  | "no-server"
  | "quarantined"
  | "retry-budget"
  | "route-removed"
  | "servers-refused"
  | "starting"
  | "too-late";

/** Why a request is invalid. */
export type InvalidReason =
  | "body-too-large"
  | "header-too-large"
  | "malformed"
  | "no-route"
  | "unknown-coding";

/** Why it is unknown whether a request ran; `unmarked-refusal` if a server's
 * status promises that it was not run, but the server did not say so. */
export type UnknownReason =
  | "answer-lost"
  | "internal-error"
  | "leaving"
  | "timed-out"
  | "unmarked-refusal";

/** The outcome of one request; `abandoned` if its caller disconnected. */
export type RequestOutcome =
  | {
    readonly type: "answered";
    readonly status: number;
    readonly headers: HeaderMap;
    readonly body: Uint8Array;
  }
  | {
    readonly type: "not-run";
    readonly reason: NotRunReason;
    readonly retryAfterMs: number;
  }
  | { readonly type: "unknown"; readonly reason: UnknownReason }
  | { readonly type: "invalid"; readonly reason: InvalidReason }
  | { readonly type: "abandoned" };

const INVALID_STATUS: Readonly<Record<InvalidReason, number>> = {
  "body-too-large": 413,
  "header-too-large": 431,
  malformed: 400,
  "no-route": 404,
  "unknown-coding": 501,
};

const UNKNOWN_STATUS: Readonly<Record<UnknownReason, number>> = {
  "answer-lost": 502,
  "internal-error": 502,
  leaving: 504,
  "timed-out": 504,
  "unmarked-refusal": 502,
};

/** Statuses that promise to callers that the request was not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** True if callers take a status as a promise that the request was not run. */
export function promisesNotRun(status: number): boolean {
  return NOT_RUN_STATUSES.has(status);
}

/** Properties common to all answers to one request. */
export interface AnswerContext {
  readonly requestIdHeader: string;
  readonly requestId: string | undefined;
  /** True if the answer closes the caller's connection. */
  readonly closes: boolean;
}

type AnswerWriters = {
  readonly [Type in RequestOutcome["type"]]: (
    outcome: Extract<RequestOutcome, { type: Type }>,
    response: ServerResponse,
    context: AnswerContext,
  ) => void;
};

const ANSWER_WRITERS: AnswerWriters = {
  answered: (outcome, response, context) => {
    const headers: OutgoingHttpHeaders = createHeaderMap(outcome.headers);
    const bodiless = outcome.status === 204 || outcome.status === 304;
    if (headers["content-length"] === undefined && !bodiless) {
      headers["content-length"] = outcome.body.length;
    }
    if (context.closes) headers["connection"] = "close";
    response.writeHead(outcome.status, headers);
    response.end(outcome.body);
  },
  "not-run": ({ reason, retryAfterMs }, response, context) => {
    const seconds = (retryAfterMs / 1_000).toFixed(3);
    writeEdgeAnswer(response, context, {
      status: 503,
      reason,
      headers: { "retry-after": seconds },
    });
  },
  unknown: ({ reason }, response, context) =>
    writeEdgeAnswer(response, context, {
      status: UNKNOWN_STATUS[reason],
      reason,
    }),
  invalid: ({ reason }, response, context) =>
    writeEdgeAnswer(response, context, {
      status: INVALID_STATUS[reason],
      reason,
    }),
  abandoned: (_outcome, response) => response.destroy(),
};

/** Writes the answer for an outcome; closes the connection without an answer if
 * the caller disconnected. */
export function answer(
  outcome: RequestOutcome,
  response: ServerResponse,
  context: AnswerContext,
): void {
  const writeAnswer = ANSWER_WRITERS[outcome.type] as (
    outcome: RequestOutcome,
    response: ServerResponse,
    context: AnswerContext,
  ) => void;
  writeAnswer(outcome, response, context);
}

function writeEdgeAnswer(
  response: ServerResponse,
  context: AnswerContext,
  own: {
    readonly status: number;
    readonly reason: string;
    readonly headers?: Readonly<Record<string, string>>;
  },
): void {
  const body = `${own.reason}\n`;
  const { requestId, requestIdHeader } = context;
  response.writeHead(own.status, {
    ...own.headers,
    ...(requestId === undefined ? {} : { [requestIdHeader]: requestId }),
    ...(context.closes ? { connection: "close" } : {}),
    "content-type": "text/plain",
    "content-length": body.length,
  });
  response.end(body);
}
