/**
 * A group owner over raw backend servers, for which the test writes the bytes
 * of the answers.
 *
 * @module
 */

import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import type { ExecutionContext } from "ava";
import { pino } from "pino";
import { DisposableStore } from "@dotterelmoor/core.types";
import type { Outcome, ServiceDocument } from "@dotterelmoor/core.types";
import { createBackendClient } from "@dotterelmoor/network.backend";
import { createClock } from "./process/clock.ts";
import type { Clock } from "./process/clock.ts";
import { createGroupOwner } from "./process/group_owner.ts";
import type { GroupOwner } from "./process/group_owner_types.ts";
import { createQuarantineComponent } from "./process/quarantine_component.ts";
import type { QuarantineComponent } from "./process/quarantine_component.ts";
import type { CreateMachine } from "./process/recording.ts";
import type { Execution } from "./request/execution.ts";

const SERVICE = "orders";
const REGION = "north";

/** Time in milliseconds that a request may take, unless the test sets one. */
const DEADLINE_MS = 3_000;

/** Slots of each server. */
const SLOTS = 2;

const DOCUMENT: ServiceDocument = {
  name: SERVICE,
  regions: [REGION],
  shift: { cap: 100, windowMs: 1_000, startShare: 1, stepShare: 1 },
  concurrency: { [REGION]: 10 },
  linkShare: 1,
  kinds: [],
  retry: { ratio: 0, floor: 0, windowMs: 10_000 },
  drainMs: 1_000,
};

/** A request that a raw server has read. */
export interface RawRequest {
  readonly requestId: string;
  /** Number of requests read before on this connection. */
  readonly count: number;
  readonly socket: Socket;
}

/** Starts a server that calls back for each request, which must have no body.
 * Resolves with its `host:port`. */
export async function startRawServer(
  t: ExecutionContext,
  onRequest: (request: RawRequest) => void,
): Promise<string> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    let count = 0;
    sockets.add(socket);
    socket.on("error", () => {});
    socket.on("data", (chunk: Buffer) => {
      const requestId = /^dotterelmoor-request-id: (.*)$/im.exec(
        chunk.toString("latin1"),
      )?.[1];
      if (requestId === undefined) return;
      onRequest({ requestId, count, socket });
      count += 1;
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Builds an answer; without an id if none is given. */
export function buildAnswer(requestId?: string): string {
  return `HTTP/1.1 200 OK\r\n${buildId(requestId)}content-length: 0\r\n\r\n`;
}

/** Builds a refusal; without an id if none is given. */
export function buildRefusal(requestId?: string): string {
  return `HTTP/1.1 503 Service Unavailable\r\n${buildId(requestId)}` +
    "dotterelmoor-not-run: true\r\ncontent-length: 0\r\n\r\n";
}

function buildId(requestId: string | undefined): string {
  return requestId === undefined
    ? ""
    : `dotterelmoor-request-id: ${requestId}\r\n`;
}

/** An owner with its quarantine. */
export interface StartedOwner {
  readonly owner: GroupOwner;
  readonly quarantine: QuarantineComponent;
  /** Runs a non-repeatable request, whose fingerprint is its id unless
   * another one is given. */
  execute(requestId: string, fingerprint?: string): Promise<Outcome>;
}

/** Options of `startOwner`. */
export interface OwnerTestOptions {
  readonly servers: readonly string[];
  readonly clock?: Clock;
  readonly deadlineMs?: number;
}

/** Starts the owner of a group with the given servers. */
export function startOwner(
  t: ExecutionContext,
  options: OwnerTestOptions,
): StartedOwner {
  const { servers, clock = createClock(), deadlineMs = DEADLINE_MS } = options;
  const store = new DisposableStore();
  const backend = createBackendClient();
  const createMachine: CreateMachine = (source) =>
    source.create(source.options);
  const quarantine = createQuarantineComponent({
    clock,
    store,
    createMachine,
    log: pino({ level: "silent" }),
    onSuspect: () => {},
    onConvicted: () => {},
    onLifted: () => {},
  });
  const owner = createGroupOwner({
    service: SERVICE,
    region: REGION,
    fence: 1,
    document: DOCUMENT,
    clock,
    random: () => 0,
    backend,
    quarantine,
    store,
    createMachine,
    authorityUntilMs: () => clock.nowMs() + 10_000,
    onIdle: () => {},
  });
  listServers(owner, servers);
  t.teardown(async () => {
    backend.close();
    await store.dispose();
  });
  return {
    owner,
    quarantine,
    execute: (requestId, fingerprint = requestId) =>
      owner.execute(
        buildExecution(
          { requestId, fingerprint },
          clock.nowMs() + deadlineMs,
        ),
        new AbortController().signal,
      ),
  };
}

/** Sets the servers of a group. */
export function listServers(
  owner: GroupOwner,
  servers: readonly string[],
): void {
  owner.setServers(servers.map((address, index) => ({
    id: `s${index}`,
    address,
    slots: SLOTS,
    state: "live",
  })));
}

function buildExecution(
  request: Pick<Execution, "fingerprint" | "requestId">,
  deadlineAtMs: number,
): Execution {
  return {
    service: SERVICE,
    homeRegion: REGION,
    frontRegion: REGION,
    kind: "hold",
    method: "POST",
    path: "/holds",
    headers: {},
    body: new Uint8Array(),
    deadlineAtMs,
    priority: "normal",
    repeatable: false,
    key: request.requestId,
    ...request,
  };
}
