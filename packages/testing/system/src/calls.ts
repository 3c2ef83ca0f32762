/**
 * Sends requests as a caller and records the results, including failures.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import type { Agent } from "node:http";
import got from "got";
import type { Method } from "got";

/** Longer than any deadline in the documents. */
const TIMEOUT_MS = 12_000;

/** One request of a caller. */
export interface Call {
  /** `host:port` of the entry. */
  readonly entry: string;
  readonly service: string;
  readonly path: string;
  readonly method?: Method;
  /** Loopback source address, which determines the caller's home region. */
  readonly from?: string;
  /** Idempotency key. */
  readonly key?: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Time in milliseconds after which the caller aborts the call. */
  readonly timeoutMs?: number;
  readonly signal?: AbortSignal;
  readonly agent?: Agent;
}

/** Result that a caller sees; `lost` means that no complete response arrived. */
export interface CallResult {
  readonly call: Call;
  readonly outcome: "answered" | "not-run" | "unknown" | "lost";
  readonly reason: string;
  readonly status: number;
  readonly server: string;
  readonly requestId: string;
  readonly body: string;
  /** Times in milliseconds as returned by `performance.now()`. */
  readonly startedMs: number;
  readonly endedMs: number;
}

const OUTCOMES = ["answered", "not-run", "unknown"] as const;

/** Source address in the client block of the first region of both examples. */
export const FIRST_REGION_CALLER = "127.1.0.5";

/** Sends a request without retries; errors are reported in the result. */
export async function sendCall(call: Call): Promise<CallResult> {
  const requestId = randomUUID();
  const result = {
    call,
    outcome: "lost" as const,
    reason: "",
    status: 0,
    server: "",
    requestId,
    body: "",
    startedMs: performance.now(),
  };
  try {
    const response = await got(
      `http://${call.entry}/services/${call.service}${call.path}`,
      {
        method: call.method ?? "GET",
        body: call.body,
        headers: {
          "dotterelmoor-request-id": requestId,
          ...(call.key === undefined ? {} : { "idempotency-key": call.key }),
          ...call.headers,
        },
        agent: call.agent === undefined ? undefined : { http: call.agent },
        localAddress: call.from ?? FIRST_REGION_CALLER,
        throwHttpErrors: false,
        timeout: { request: call.timeoutMs ?? TIMEOUT_MS },
        signal: call.signal,
        retry: { limit: 0 },
      },
    );
    const readHeader = (name: string) => String(response.headers[name] ?? "");
    const outcome = OUTCOMES.find((value) =>
      value === readHeader("dotterelmoor-outcome")
    );
    return {
      ...result,
      outcome: outcome ?? "lost",
      reason: readHeader("dotterelmoor-reason"),
      status: response.statusCode,
      server: readHeader("dotterelmoor-server"),
      body: response.body,
      endedMs: performance.now(),
    };
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return { ...result, reason, endedMs: performance.now() };
  }
}

/** Formats the counts of results by outcome and reason for test output. */
export function describeResults(results: readonly CallResult[]): string {
  const counts = new Map<string, number>();
  for (const { outcome, reason } of results) {
    const name = reason === "" ? outcome : `${outcome} (${reason})`;
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return [...counts].map(([name, count]) => `${count} ${name}`).join(", ");
}

/** Load that sends bursts of calls until it is stopped. */
export interface Load {
  /** Results so far, in order of completion. */
  readonly results: readonly CallResult[];
  /** Stops sending, waits for pending calls and returns all results. */
  stop(): Promise<readonly CallResult[]>;
}

/** Options of `startLoad`. */
export interface LoadOptions {
  readonly intervalMs: number;
  /** Returns the calls of a burst, given its sequence number from 0. */
  readonly makeBurst: (number: number) => readonly Call[];
}

/** Starts sending a burst of concurrent calls after each interval. */
export function startLoad(options: LoadOptions): Load {
  const results: CallResult[] = [];
  const pending = new Set<Promise<void>>();
  let number = 0;
  const timer = setInterval(() => {
    for (const call of options.makeBurst(number)) {
      const sent = sendCall(call).then((result) => {
        results.push(result);
        pending.delete(sent);
      });
      pending.add(sent);
    }
    number += 1;
  }, options.intervalMs);
  return {
    results,
    stop: async () => {
      clearInterval(timer);
      await Promise.all(pending);
      return results;
    },
  };
}
