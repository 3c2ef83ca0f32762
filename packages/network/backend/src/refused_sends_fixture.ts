/**
 * A raw server that refuses some sends, repeats refusals at any time, and
 * remembers which sends it ran.
 *
 * @module
 */

import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import type { ExecutionContext } from "ava";

/** Header that identifies a send; ids of requests are used many times. */
export const SEND_HEADER = "x-send";

/** Probabilities of what the server does. */
const REFUSED_SHARE = 0.4;
const EARLY_SHARE = 0.5;
const COPIED_SHARE = 0.4;
const RESET_SHARE = 0.04;
const INTERIM_SHARE = 0.1;
const SPLIT_SHARE = 0.3;

/** Longest run time in milliseconds; longer than some deadlines. */
const MAX_RUN_MS = 12;

/** Longest time in milliseconds after which a copy follows. */
const MAX_COPY_MS = 6;

/** What the server did. */
export interface RefusingServer {
  readonly address: string;
  /** Numbers of the sends that ran. */
  readonly runs: ReadonlySet<string>;
  readonly counts: { refusals: number; copies: number; ownCopies: number };
}

/** Starts the server; it closes after the test. */
export async function startRefusingServer(
  t: ExecutionContext,
  random: () => number,
): Promise<RefusingServer> {
  const runs = new Set<string>();
  const counts = { refusals: 0, copies: 0, ownCopies: 0 };
  const sockets = new Set<Socket>();
  const server = createServer({ noDelay: true }, (socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    void serveConnection(socket, { runs, counts, random });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return { address: `127.0.0.1:${port}`, runs, counts };
}

interface ServerParts {
  readonly runs: Set<string>;
  readonly counts: RefusingServer["counts"];
  readonly random: () => number;
}

/** Reads one request after another, as servers do. */
async function serveConnection(
  socket: Socket,
  { runs, counts, random }: ServerParts,
): Promise<void> {
  const reader = createReader(socket);
  const refusedIds: string[] = [];
  const write = async (text: string) => {
    if (random() < SPLIT_SHARE) {
      const middle = Math.floor(random() * text.length);
      socket.write(text.slice(0, middle));
      await wait(1);
      socket.write(text.slice(middle));
    } else socket.write(text);
  };
  const copy = (currentId: string) => {
    if (refusedIds.length === 0 || random() >= COPIED_SHARE) return "";
    // The id of the request under way is the hardest one to tell.
    const id = refusedIds.includes(currentId)
      ? currentId
      : refusedIds[Math.floor(random() * refusedIds.length)]!;
    counts.copies += 1;
    if (id === currentId) counts.ownCopies += 1;
    return buildRefusal(id);
  };
  while (!socket.destroyed) {
    const head = await reader.readHead();
    if (head === undefined) return;
    const { id, send, length } = head;
    if (random() < INTERIM_SHARE) socket.write("HTTP/1.1 103 Hints\r\n\r\n");
    const isRefused = random() < REFUSED_SHARE;
    const isEarly = isRefused && random() < EARLY_SHARE;
    if (!isEarly) await reader.skip(length);
    await write(copy(id));
    if (isRefused) {
      refusedIds.push(id);
      counts.refusals += 1;
      await write(buildRefusal(id));
    } else {
      runs.add(send);
      await wait(random() * MAX_RUN_MS);
      if (random() < RESET_SHARE) return void socket.resetAndDestroy();
      await write(copy(id) + buildAnswer(id) + copy(id));
    }
    if (isEarly) await reader.skip(length);
    const late = copy(id);
    if (late !== "") setTimeout(() => write(late), random() * MAX_COPY_MS);
  }
}

interface Head {
  readonly id: string;
  readonly send: string;
  /** Bytes of the body. */
  readonly length: number;
}

function createReader(socket: Socket) {
  let read = Buffer.alloc(0);
  let isOver = false;
  let notify = () => {};
  socket.on("data", (chunk: Buffer) => {
    read = Buffer.concat([read, chunk]);
    notify();
  });
  socket.once("close", () => {
    isOver = true;
    notify();
  });
  const waitForMore = () =>
    isOver
      ? Promise.resolve()
      : new Promise<void>((resolve) => notify = resolve);
  return {
    readHead: async (): Promise<Head | undefined> => {
      while (!read.includes("\r\n\r\n")) {
        if (isOver) return undefined;
        await waitForMore();
      }
      const end = read.indexOf("\r\n\r\n");
      const text = read.subarray(0, end).toString("latin1");
      read = read.subarray(end + 4);
      const get = (name: string) =>
        new RegExp(`^${name}: (.*)$`, "im").exec(text)?.[1] ?? "";
      return {
        id: get("dotterelmoor-request-id"),
        send: get(SEND_HEADER),
        length: Number(get("content-length")),
      };
    },
    skip: async (length: number) => {
      let left = length;
      while (left > 0 && !isOver) {
        const size = Math.min(left, read.length);
        read = read.subarray(size);
        left -= size;
        if (left > 0) await waitForMore();
      }
    },
  };
}

function buildRefusal(id: string): string {
  return "HTTP/1.1 503 Service Unavailable\r\n" +
    `dotterelmoor-request-id: ${id}\r\n` +
    "dotterelmoor-not-run: true\r\ncontent-length: 0\r\n\r\n";
}

function buildAnswer(id: string): string {
  return "HTTP/1.1 200 OK\r\n" +
    `dotterelmoor-request-id: ${id}\r\ncontent-length: 0\r\n\r\n`;
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
