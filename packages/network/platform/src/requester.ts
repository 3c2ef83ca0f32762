/**
 * Sends HTTP requests to the platform with limited concurrency.
 *
 * @module
 */

import { Agent } from "node:http";
import { startTimeout } from "@dotterelmoor/network.timing";
import got from "got";
import type { Method } from "got";
import { Semaphore } from "./semaphore.ts";
import { isRecord } from "./parse.ts";
import type { JsonRecord } from "./parse.ts";
import type { PlatformClientOptions } from "./types.ts";

/** Enough for the batches of one entry without overloading the platform. */
const DEFAULT_MAX_CONCURRENT = 16;

/** The largest responses are objects: snapshots of at most a few MiB. */
const DEFAULT_MAX_RESPONSE_BYTES = 32 * 1024 * 1024;

/** A complete response. */
export interface PlatformResponse {
  readonly status: number;
  readonly body: Uint8Array;
}

/** Body of a request, if any. */
export interface RequestBody {
  readonly json?: unknown;
  readonly body?: Uint8Array;
}

/** Sends requests; undefined stands for no usable response. */
export interface Requester {
  request(
    method: Method,
    path: string,
    body?: RequestBody,
  ): Promise<PlatformResponse | undefined>;
  /** Parses a JSON object; undefined if it is malformed. */
  parse<T>(
    response: PlatformResponse,
    parseBody: (body: JsonRecord) => T | undefined,
  ): T | undefined;
  close(): void;
}

/** Creates a requester for one platform. */
export function createRequester(options: PlatformClientOptions): Requester {
  const maxConcurrent = options.maxConcurrent ?? DEFAULT_MAX_CONCURRENT;
  const agent = new Agent({ keepAlive: true, maxSockets: maxConcurrent });
  const semaphore = new Semaphore(maxConcurrent);
  // AbortSignal.any on one long-lived signal would use more memory with each
  // request.
  const active = new Set<AbortController>();
  const reportFailure = options.onFailure ?? (() => {});
  return {
    request: async (method, path, body = {}) => {
      const controller = new AbortController();
      const timeout = startTimeout(
        () => controller.abort(new Error("The call timed out")),
        options.timeoutMs,
      );
      active.add(controller);
      try {
        const release = await semaphore.take(controller.signal);
        return await send({ method, path, body, agent, options, controller })
          .finally(release);
      } catch (error) {
        reportFailure(`${method} /${path} failed: ${describeError(error)}`);
        return undefined;
      } finally {
        timeout.stop();
        active.delete(controller);
      }
    },
    parse: (response, parseBody) => {
      const parsed = parseResponse(response, parseBody);
      if (parsed === undefined) reportFailure("The response is malformed");
      return parsed;
    },
    close: () => {
      for (const controller of active) {
        controller.abort(new Error("The client is closed"));
      }
      agent.destroy();
    },
  };
}

interface SendOptions {
  readonly method: Method;
  readonly path: string;
  readonly body: RequestBody;
  readonly agent: Agent;
  readonly options: PlatformClientOptions;
  readonly controller: AbortController;
}

async function send(input: SendOptions): Promise<PlatformResponse> {
  const { method, path, body, agent, options, controller } = input;
  const limit = options.maxAnswerBytes ?? DEFAULT_MAX_RESPONSE_BYTES;
  const pending = got(new URL(path, `${options.url}/`), {
    method,
    ...(body.json !== undefined ? { json: body.json } : {}),
    ...(body.body !== undefined ? { body: Buffer.from(body.body) } : {}),
    agent: { http: agent },
    retry: { limit: 0 },
    followRedirect: false,
    decompress: false,
    throwHttpErrors: false,
    responseType: "buffer",
    signal: controller.signal,
  });
  pending.on("downloadProgress", ({ transferred }) => {
    if (transferred > limit) {
      controller.abort(new Error("The response is too large"));
    }
  });
  const { statusCode, body: response } = await pending;
  if (statusCode >= 500) throw new Error(`HTTP status ${statusCode}`);
  return { status: statusCode, body: response };
}

function parseResponse<T>(
  response: PlatformResponse,
  parseBody: (body: JsonRecord) => T | undefined,
): T | undefined {
  try {
    const body: unknown = JSON.parse(new TextDecoder().decode(response.body));
    return isRecord(body) ? parseBody(body) : undefined;
  } catch {
    return undefined;
  }
}

function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
