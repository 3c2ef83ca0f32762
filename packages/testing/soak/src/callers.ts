/**
 * Callers that ask where to connect, keep connections and send requests.
 *
 * @module
 */

import { Agent, request as openRequest } from "node:http";
import type { IncomingMessage } from "node:http";
import {
  buildAnswer,
  CALLER_PROTOCOL,
  encodeRequestHeaders,
  HEADERS,
} from "@dotterelmoor/platform";
import type { Installation } from "./installation.ts";
import type { Records, RequestRecord } from "./records.ts";

/** Host of all routes. */
export const HOST = "desk.example";

/** Time in milliseconds that callers wait for an answer. */
const WAIT_MS = 1_500;

/** Time in milliseconds between look-ups of a caller. */
const LOOKUP_MS = 1_000;

/** Share of the requests that may run at most once. */
const ONCE_SHARE = 0.4;

/** Share of the requests that ask for the route of the newest version. */
const PROBE_SHARE = 0.15;

/** Different objects that callers ask for. */
const OBJECTS = 20;

/** Options of `startCaller`. */
export interface CallerOptions {
  readonly installation: Installation;
  readonly records: Records;
  readonly name: string;
  readonly region: string;
  readonly random: () => number;
  /** Time in milliseconds between requests, on average. */
  readonly pauseMs: number;
  /** Version that was acknowledged last. */
  readonly getVersion: () => number;
}

/** Starts a caller; the result stops it. */
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
  readonly #open = new Set<Promise<void>>();
  #addresses: readonly string[] = [];
  #askedAtMs = -Infinity;
  #count = 0;

  constructor(options: CallerOptions) {
    this.#options = options;
  }

  async run(): Promise<void> {
    const { random, pauseMs } = this.#options;
    while (!this.stopped) {
      await this.#lookUp();
      const sending = this.#send().finally(() => this.#open.delete(sending));
      this.#open.add(sending);
      const waitMs = -Math.log(1 - random()) * pauseMs;
      await new Promise((resolve) => setTimeout(resolve, waitMs));
    }
    await Promise.all(this.#open);
    this.#agent.destroy();
  }

  async #lookUp(): Promise<void> {
    const { installation, region, random } = this.#options;
    const nowMs = performance.now();
    if (nowMs - this.#askedAtMs < LOOKUP_MS) return;
    this.#askedAtMs = nowMs;
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
    const { installation, records, random, name, getVersion } = this.#options;
    const index = Math.floor(random() * this.#addresses.length);
    const address = this.#addresses[index];
    if (address === undefined) return;
    const entry = installation.entries.find(({ callers }) =>
      callers === address
    )!;
    const isProbe = random() < PROBE_SHARE;
    const repeatable = isProbe || random() >= ONCE_SHARE;
    this.#count += 1;
    const record: RequestRecord = {
      id: `${name}-${this.#count}`,
      entry: entry.name,
      pid: entry.process?.pid,
      path: isProbe ? `/v${getVersion()}/` : `/desk/${repeatable ? "r" : "o"}/`,
      repeatable,
      sentAtMs: performance.now(),
      endedAtMs: Infinity,
      status: undefined,
      isWhole: false,
      wasSent: false,
    };
    records.requests.push(record);
    const answer = await call(`http://${address}${record.path}`, {
      agent: this.#agent,
      method: repeatable ? "GET" : "POST",
      headers: {
        host: HOST,
        ...encodeRequestHeaders({
          requestId: record.id,
          waitMs: WAIT_MS,
          object: String(Math.floor(random() * OBJECTS)),
        }),
      },
      onSent: () => record.wasSent = true,
    });
    record.endedAtMs = performance.now();
    record.status = answer?.status;
    record.isWhole = answer?.body === buildAnswer(record.id) &&
      String(answer.headers[HEADERS.stamp]).endsWith(`.${record.id}`);
  }
}

interface CallAnswer {
  readonly status: number;
  readonly headers: IncomingMessage["headers"];
  readonly body: string;
}

/** Calls an entry; undefined if no whole answer comes in time. */
function call(
  url: string,
  options: {
    readonly agent?: Agent;
    readonly method?: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly onSent?: () => void;
  },
): Promise<CallAnswer | undefined> {
  const { agent, method, headers, onSent } = options;
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
    const timer = setTimeout(() => request.destroy(), WAIT_MS);
    request.once("socket", (socket) => {
      if (socket.connecting) socket.once("connect", () => onSent?.());
      else onSent?.();
    });
    request.on("error", () => {
      clearTimeout(timer);
      resolve(undefined);
    });
    request.end();
  });
}
