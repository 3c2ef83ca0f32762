/**
 * Callers that look up entries and send requests over persistent connections.
 *
 * @module
 */

import { Agent, request as openRequest } from "node:http";
import type { IncomingMessage } from "node:http";
import {
  buildResponseBody,
  CALLER_PROTOCOL,
  CRASH_SUFFIX,
  encodeRequestHeaders,
  HEADERS,
} from "@dotterelmoor/platform";
import {
  HOST,
  REGION_BOUND_PATHS,
  REGION_BOUND_TIMEOUT_MS,
} from "./documents.ts";
import type { Installation } from "./installation.ts";
import type { Records, RequestRecord } from "./records.ts";

/** Time that callers wait for a response. */
const RESPONSE_TIMEOUT_MS = 1_500;

/** Interval between lookups of a caller. */
const LOOKUP_INTERVAL_MS = 1_000;

/** Share of requests that are not repeatable and may run at most once. */
const NON_REPEATABLE_SHARE = 0.4;

/** Share of requests to the route that only the newest version has. */
const NEWEST_VERSION_SHARE = 0.15;

/** Share of requests to region-bound routes. */
const REGION_BOUND_SHARE = 0.25;

/** Share of non-repeatable requests to region-bound routes with a slow body. */
const SLOW_BODY_SHARE = 0.4;

/** Longest time that a body takes, in which the routes' regions may change. */
const MAX_BODY_MS = 5_500;

/** Paths of routes that all versions have and that allow all regions. */
const UNRESTRICTED_PATHS = ["/desk/r/", "/desk/o/"] as const;

/** Number of different objects that callers request. */
const OBJECT_COUNT = 20;

/** Options of `startCaller`. */
export interface CallerOptions {
  readonly installation: Installation;
  readonly records: Records;
  readonly name: string;
  readonly region: string;
  readonly random: () => number;
  /** Mean time in milliseconds between requests. */
  readonly pauseMs: number;
  /** Returns the latest version that was published. */
  readonly getVersion: () => number;
}

/**
 * Starts a caller. The returned function stops it and waits for its pending
 * requests.
 */
export function startCaller(options: CallerOptions): () => Promise<void> {
  const caller = new Caller(options);
  const ended = caller.run();
  return () => {
    caller.stopped = true;
    return ended;
  };
}

class Caller {
  stopped = false;
  readonly #options: CallerOptions;
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 8 });
  readonly #pending = new Set<Promise<void>>();
  #addresses: readonly string[] = [];
  #lookedUpAtMs = -Infinity;
  #count = 0;

  constructor(options: CallerOptions) {
    this.#options = options;
  }

  async run(): Promise<void> {
    const { random, pauseMs } = this.#options;
    while (!this.stopped) {
      await this.#lookUp();
      const sending = this.#send().finally(() => this.#pending.delete(sending));
      this.#pending.add(sending);
      const waitMs = -Math.log(1 - random()) * pauseMs;
      await new Promise((resolve) => setTimeout(resolve, waitMs));
    }
    await Promise.all(this.#pending);
    this.#agent.destroy();
  }

  async #lookUp(): Promise<void> {
    const { installation, region, random } = this.#options;
    const nowMs = performance.now();
    if (nowMs - this.#lookedUpAtMs < LOOKUP_INTERVAL_MS) return;
    this.#lookedUpAtMs = nowMs;
    const { entries } = installation;
    const entry = entries[Math.floor(random() * entries.length)]!;
    const query = `region=${region}&zone=${region}-1`;
    const path = `${CALLER_PROTOCOL.lookupPath}?name=${HOST}&${query}`;
    const answer = await call(`http://${entry.lookups}${path}`, {});
    if (answer?.status !== 200) return;
    const { addresses } = JSON.parse(answer.body);
    if (addresses.length > 0) this.#addresses = addresses;
  }

  async #send(): Promise<void> {
    const { installation, records, random, name } = this.#options;
    const index = Math.floor(random() * this.#addresses.length);
    const address = this.#addresses[index];
    if (address === undefined) return;
    const entry = installation.entries.find(({ callers }) =>
      callers === address
    )!;
    const { path, repeatable } = this.#pickPath();
    this.#count += 1;
    const record: RequestRecord = {
      id: `${name}-${this.#count}`,
      entry: entry.name,
      pid: entry.process?.pid,
      path,
      repeatable,
      sentAtMs: performance.now(),
      endedAtMs: Infinity,
      status: undefined,
      isWhole: false,
      wasSent: false,
    };
    records.requests.push(record);
    const answer = await this.#exchange(address, record);
    record.endedAtMs = performance.now();
    record.status = answer?.status;
    record.isWhole = answer?.body === buildResponseBody(record.id) &&
      String(answer.headers[HEADERS.stamp]).endsWith(`.${record.id}`);
  }

  #exchange(
    address: string,
    record: RequestRecord,
  ): Promise<CallResponse | undefined> {
    const { random } = this.#options;
    const { id, path, repeatable } = record;
    const isRegionBound = path.startsWith("/bound/");
    const isSlow = isRegionBound && !repeatable && random() < SLOW_BODY_SHARE;
    const waitMs = isRegionBound
      ? REGION_BOUND_TIMEOUT_MS
      : RESPONSE_TIMEOUT_MS;
    const object = String(Math.floor(random() * OBJECT_COUNT));
    return call(`http://${address}${path}`, {
      agent: this.#agent,
      method: repeatable ? "GET" : "POST",
      bodyMs: isSlow ? random() * MAX_BODY_MS : 0,
      waitMs,
      headers: {
        host: HOST,
        ...encodeRequestHeaders({ requestId: id, waitMs, object }),
      },
      onSent: () => record.wasSent = true,
    });
  }

  /** Picks the newest version's own route or one that all versions have. */
  #pickPath(): { readonly path: string; readonly repeatable: boolean } {
    const { random, getVersion } = this.#options;
    if (random() < NEWEST_VERSION_SHARE) {
      return { path: `/v${getVersion()}/`, repeatable: true };
    }
    const repeatable = random() >= NON_REPEATABLE_SHARE;
    const index = repeatable ? 0 : 1;
    const paths = random() < REGION_BOUND_SHARE
      ? REGION_BOUND_PATHS
      : UNRESTRICTED_PATHS;
    return { path: paths[index], repeatable };
  }
}

/** Path of the request that crashes servers. */
export const CRASH_PATH = `/desk/r${CRASH_SUFFIX}`;

/** Interval between attempts of the crashing request. */
const CRASH_INTERVAL_MS = 300;

/**
 * Starts a caller that sends a crashing request repeatedly, each time to a
 * random entry. The returned function stops it.
 */
export function startCrashingCaller(
  { installation, records, random }: Pick<
    CallerOptions,
    "installation" | "random" | "records"
  >,
): () => void {
  let count = 0;
  const timer = setInterval(() => {
    count += 1;
    const { entries } = installation;
    const entry = entries[Math.floor(random() * entries.length)]!;
    const id = `crash-${count}`;
    const record: RequestRecord = {
      id,
      entry: entry.name,
      pid: entry.process?.pid,
      path: CRASH_PATH,
      repeatable: true,
      sentAtMs: performance.now(),
      endedAtMs: Infinity,
      status: undefined,
      isWhole: false,
      wasSent: false,
    };
    records.requests.push(record);
    void call(`http://${entry.callers}${CRASH_PATH}`, {
      headers: {
        host: HOST,
        ...encodeRequestHeaders({
          requestId: id,
          waitMs: RESPONSE_TIMEOUT_MS,
          object: "crash",
        }),
      },
    }).then((answer) => {
      record.endedAtMs = performance.now();
      record.status = answer?.status;
    });
  }, CRASH_INTERVAL_MS);
  return () => clearInterval(timer);
}

interface CallResponse {
  readonly status: number;
  readonly headers: IncomingMessage["headers"];
  readonly body: string;
}

/** Calls an entry; undefined if no complete response arrives in time. */
function call(
  url: string,
  options: {
    readonly agent?: Agent;
    readonly method?: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly onSent?: () => void;
    /** Time in milliseconds that sending the body takes; 0 for no body. */
    readonly bodyMs?: number;
    /** Time in milliseconds after which the call is aborted. */
    readonly waitMs?: number;
  },
): Promise<CallResponse | undefined> {
  const {
    agent,
    method,
    headers,
    onSent,
    bodyMs = 0,
    waitMs = RESPONSE_TIMEOUT_MS,
  } = options;
  return new Promise((resolve) => {
    const request = openRequest(url, { agent, method, headers }, (response) => {
      const chunks: Buffer[] = [];
      response.on("data", (chunk: Buffer) => chunks.push(chunk));
      response.on("close", () => {
        clearTimeout(timer);
        if (!response.complete) return resolve(undefined);
        const body = Buffer.concat(chunks).toString();
        const { statusCode: status = 0, headers } = response;
        resolve({ status, headers, body });
      });
    });
    const timer = setTimeout(() => request.destroy(), waitMs);
    request.once("socket", (socket) => {
      if (socket.connecting) socket.once("connect", () => onSent?.());
      else onSent?.();
    });
    request.on("error", () => {
      clearTimeout(timer);
      resolve(undefined);
    });
    if (bodyMs === 0) return request.end();
    request.write("first part ");
    setTimeout(() => request.end("second part"), bodyMs);
  });
}
