/**
 * Backend servers that crash soon after they receive a certain request, and are
 * replaced some time later under another id, as on the platform.
 *
 * @module
 */

import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { ExecutionContext } from "ava";
import { claimPort } from "../../../network/peering/src/claimed_ports_fixture.ts";
import { buildServer, callEdge } from "./edge_fixture.ts";
import type { MemoryStore } from "./edge_fixture.ts";

/** Path of the request that crashes servers, unless it has the header
 * `HARMLESS_HEADER`. */
export const CRASHING_PATH = "/a/crash";
export const HARMLESS_HEADER = "x-harmless";

/** Time in milliseconds from the start of that request to the crash. */
const CRASH_DELAY_MS = 15;

/** Run time in milliseconds of other requests. */
const RUN_MS = 60;

/** Time in milliseconds after which a crashed server is replaced. */
const REPLACE_DELAY_MS = 700;

/** The servers and what they recorded. */
export interface CrashingFleet {
  /** Monotonic times at which the crashing request reached a server. */
  readonly sendsAtMs: number[];
  /** Monotonic times at which servers crashed. */
  readonly crashesAtMs: number[];
  /** Versions of the software that received the crashing request, in order. */
  readonly sentTo: string[];
  /** Counts the sends of the crashing request that came later than a time in
   * milliseconds after the third crash. */
  countLateSends(afterMs: number): number;
  /** Adds servers of another version; cured ones survive that request. */
  release(options: {
    readonly software: string;
    readonly count: number;
    readonly isCured: boolean;
  }): Promise<void>;
}

/** Options of `startCrashingServers`. */
export interface CrashingServersOptions {
  readonly count: number;
  /** Availability zones, assigned to the servers round robin. */
  readonly zones: readonly string[];
}

/** A server's properties that stay the same when it is replaced. */
interface Place {
  readonly number: number;
  readonly software: string;
  readonly isCured: boolean;
}

/** Starts servers of the service `desk` that close after the test. */
export async function startCrashingServers(
  t: ExecutionContext,
  store: MemoryStore,
  options: CrashingServersOptions,
): Promise<CrashingFleet> {
  const fleet = new Fleet(store, options);
  t.teardown(() => fleet.close());
  await fleet.release({
    software: "v1",
    count: options.count,
    isCured: false,
  });
  return fleet;
}

class Fleet implements CrashingFleet {
  readonly sendsAtMs: number[] = [];
  readonly crashesAtMs: number[] = [];
  readonly sentTo: string[] = [];
  readonly #store: MemoryStore;
  readonly #options: CrashingServersOptions;
  readonly #servers = new Map<string, Server>();
  #places = 0;
  #starts = 0;
  #isClosed = false;

  constructor(store: MemoryStore, options: CrashingServersOptions) {
    this.#store = store;
    this.#options = options;
  }

  async release(
    { software, count, isCured }: Parameters<CrashingFleet["release"]>[0],
  ): Promise<void> {
    for (let added = 0; added < count; added++) {
      this.#places += 1;
      await this.#start({ number: this.#places, software, isCured });
    }
  }

  async #start(place: Place): Promise<void> {
    this.#starts += 1;
    const id = `s${place.number}-${this.#starts}`;
    const server = createServer((request, response) =>
      this.#handle({ id, place, server }, request, response)
    );
    // The server may end before the test; nothing else may listen there then.
    const port = await claimPort();
    await new Promise<void>((resolve) =>
      server.listen(port, "127.0.0.1", resolve)
    );
    this.#servers.set(id, server);
    if (this.#isClosed) return this.#end(id);
    const { zones } = this.#options;
    const record = buildServer(id, `127.0.0.1:${port}`, {
      zone: zones[place.number % zones.length]!,
      bornMs: this.#starts,
      software: place.software,
    });
    this.#store.put("servers", id, { type: "server", record });
  }

  countLateSends(afterMs: number): number {
    const sinceMs = (this.crashesAtMs[2] ?? Infinity) + afterMs;
    return this.sendsAtMs.filter((atMs) => atMs > sinceMs).length;
  }

  close(): void {
    this.#isClosed = true;
    for (const id of this.#servers.keys()) this.#end(id);
  }

  #handle(
    { id, place, server }: {
      readonly id: string;
      readonly place: Place;
      readonly server: Server;
    },
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const requestId = String(request.headers["dotterelmoor-request-id"]);
    response.setHeader("dotterelmoor-request-id", requestId);
    request.resume();
    const isCrash = request.url === CRASHING_PATH &&
      request.headers[HARMLESS_HEADER] === undefined;
    if (isCrash) {
      this.sendsAtMs.push(performance.now());
      this.sentTo.push(place.software);
    }
    if (!isCrash || place.isCured) {
      setTimeout(() => response.end(`answer to ${requestId}`), RUN_MS);
      return;
    }
    setTimeout(() => {
      if (this.#servers.get(id) !== server) return;
      this.crashesAtMs.push(performance.now());
      this.#end(id);
      setTimeout(() => this.#replace(id, place), REPLACE_DELAY_MS);
    }, CRASH_DELAY_MS);
  }

  #end(id: string): void {
    const server = this.#servers.get(id);
    this.#servers.delete(id);
    server?.closeAllConnections();
    server?.close();
  }

  #replace(id: string, place: Place): void {
    if (this.#isClosed) return;
    this.#store.drop("servers", id, { type: "server_removed", id });
    void this.#start(place);
  }
}

/** The calls of one test. */
export interface CallPlan {
  /** Addresses at which the entries listen for callers. */
  readonly edges: readonly { readonly host: string; readonly port: number }[];
  /** Interval in milliseconds between calls, and their total duration. */
  readonly periodMs: number;
  readonly forMs: number;
  readonly path: string;
  /** Prefix that makes the request ids unique. */
  readonly name: string;
  readonly method?: string;
  readonly body?: string;
}

/** Calls the entries round robin without waiting for answers; resolves with the
 * statuses, 0 for a call without an answer. */
export async function callInTurn(plan: CallPlan): Promise<number[]> {
  const pending: Promise<number>[] = [];
  const endAtMs = performance.now() + plan.forMs;
  for (let call = 0; performance.now() < endAtMs; call++) {
    const { edges, name, method = "GET", body } = plan;
    pending.push(
      callEdge(edges[call % edges.length]!, {
        path: plan.path,
        id: `${name}-${call}`,
        method,
        ...(body === undefined ? {} : { body }),
      }).then(({ status }) => status, () => 0),
    );
    await new Promise((resolve) => setTimeout(resolve, plan.periodMs));
  }
  return await Promise.all(pending);
}
