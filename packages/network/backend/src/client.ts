/**
 * Creates the client for backend servers.
 *
 * @module
 */

import { performance } from "node:perf_hooks";
import { startTimeout } from "@dotterelmoor/network.timing";
import { AnswerBudget } from "./answer_budget.ts";
import type { Connection } from "./connection.ts";
import { rejectAnswer, runExchange } from "./exchange.ts";
import type { Exchange } from "./exchange.ts";
import { fetchHealth } from "./health.ts";
import { checkListening } from "./listening.ts";
import { ConnectionPool } from "./pool.ts";
import { DEFAULT_PROTOCOL } from "./protocol.ts";
import type { ServerProtocol } from "./protocol.ts";
import type {
  AnswerRejection,
  BackendClient,
  BackendClientOptions,
  BackendRequest,
  BackendResult,
} from "./types.ts";

const DEFAULTS = {
  maxConnectionsPerServer: 64,
  maxAnswerBytes: 4 * 1024 * 1024,
  maxAnswersBytes: 24 * 1024 * 1024,
  onAnswerRejected: () => {},
  // A connection in the same region opens in about 1 ms.
  connectTimeoutMs: 500,
  // Less than the 5 s after which Node.js servers close idle connections: a
  // request sent on a closing connection counts as lost.
  idleMs: 2_000,
  protocol: DEFAULT_PROTOCOL,
};

/** Creates a client for backend servers. */
export function createBackendClient(
  options: BackendClientOptions = {},
): BackendClient {
  const settings = { ...DEFAULTS, ...options };
  const pool = new ConnectionPool(settings);
  const budget = new AnswerBudget(settings.maxAnswersBytes);
  return {
    send: (request) => sendRequest(request, { pool, budget, ...settings }),
    fetchHealth,
    checkListening,
    close: () => pool.close(),
  };
}

interface SendOptions {
  readonly pool: ConnectionPool;
  readonly budget: AnswerBudget;
  readonly maxAnswerBytes: number;
  readonly onAnswerRejected: (rejection: AnswerRejection) => void;
  readonly protocol: ServerProtocol;
}

async function sendRequest(
  request: BackendRequest,
  options: SendOptions,
): Promise<BackendResult> {
  if (request.signal?.aborted) return { type: "cancelled", sent: false };
  const controller = new AbortController();
  const abort = () => controller.abort(new Error("The caller cancelled"));
  const timeout = startTimeout(
    () => controller.abort(new Error("The deadline has passed")),
    request.deadlineMs,
  );
  request.signal?.addEventListener("abort", abort, { once: true });
  const exchange: Exchange = {
    request,
    deadlineAt: performance.now() + request.deadlineMs,
    maxAnswerBytes: options.maxAnswerBytes,
    protocol: options.protocol,
    controller,
    share: options.budget.open((rejection) => {
      rejectAnswer(exchange);
      options.onAnswerRejected({ address: request.address, ...rejection });
    }),
    sent: false,
    responseStarted: false,
    bodyBytes: 0,
    isRejected: false,
    notWritten: false,
  };
  try {
    return await runOnConnection(options.pool, exchange);
  } finally {
    exchange.share.release();
    timeout.stop();
    request.signal?.removeEventListener("abort", abort);
  }
}

async function runOnConnection(
  pool: ConnectionPool,
  exchange: Exchange,
): Promise<BackendResult> {
  let connection: Connection | undefined;
  try {
    const { request, controller } = exchange;
    connection = await pool.take(request, controller.signal);
    const result = await runExchange(connection, exchange);
    if (result.type === "incomplete_answer") connection.close();
    return result;
  } catch {
    // Late bytes of this exchange must not reach another one.
    connection?.close();
    return resolveFailure(exchange);
  }
}

function resolveFailure(exchange: Exchange): BackendResult {
  const { request, sent, controller } = exchange;
  if (request.signal?.aborted) return { type: "cancelled", sent };
  if (exchange.isRejected) return { type: "incomplete_answer" };
  if (exchange.notWritten) return { type: "not_authorized" };
  if (controller.signal.aborted) {
    return { type: sent ? "timed_out" : "not_authorized" };
  }
  if (!sent) return { type: "connection_refused" };
  return {
    type: exchange.responseStarted ? "incomplete_answer" : "connection_lost",
  };
}
