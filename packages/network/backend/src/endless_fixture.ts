/**
 * A server on a raw socket that answers without end.
 *
 * @module
 */

import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import type { ExecutionContext } from "ava";
import { createBackendClient, OWN_PROTOCOL } from "./mod.ts";
import type { BackendResult } from "./mod.ts";

export const PROTOCOL = {
  ...OWN_PROTOCOL,
  acceptsCloseDelimited: true,
  echoesRequestId: true,
};

export const MAX_ANSWER_BYTES = 256 * 1_024;

/** Bytes that a server can hand to the kernel beyond what the client read:
 * Linux lets a send buffer grow to 4 MiB and a receive buffer to 6 MiB. */
export const SOCKET_BUFFER_BYTES = 16 * 1_024 * 1_024;

/** Largest read of a socket in Node.js, and the size of the server's writes. */
export const READ_BYTES = 64 * 1_024;

/** Long against what a loaded machine needs, so that the client's bounds and
 * not the deadline end an answer that comes at full speed. */
export const DEADLINE_MS = 20_000;

/** How a server answers without end. */
export interface EndlessAnswer {
  /** Sent once. */
  readonly head: string;
  /** Sent again and again. */
  readonly piece: string;
  /** Pause in milliseconds between pieces; none if undefined. */
  readonly pauseMs?: number;
  readonly method?: string;
  readonly deadlineMs?: number;
}

export interface SendObservation {
  readonly result: BackendResult;
  readonly elapsedMs: number;
  /** Bytes that the server's kernel took until the connection was closed. */
  readonly writtenBytes: number;
}

/** Sends one request and returns once the server's side is closed as well. */
export async function sendTo(
  t: ExecutionContext,
  answer: EndlessAnswer,
): Promise<SendObservation> {
  let writtenBytes = 0;
  let markClosed = () => {};
  const closed = new Promise<void>((resolve) => markClosed = resolve);
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("close", markClosed);
    socket.once("data", () => {
      socket.write(answer.head);
      writeRepeatedly(socket, answer, (bytes) => writtenBytes += bytes);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const client = createBackendClient({
    protocol: PROTOCOL,
    maxAnswerBytes: MAX_ANSWER_BYTES,
  });
  t.teardown(() => {
    client.close();
    server.close();
  });
  const startedAtMs = performance.now();
  const result = await client.send({
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    method: answer.method ?? "GET",
    path: "/",
    headers: {},
    deadlineMs: answer.deadlineMs ?? DEADLINE_MS,
    requestId: "r1",
  });
  const elapsedMs = performance.now() - startedAtMs;
  await closed;
  return { result, elapsedMs, writtenBytes };
}

/** Writes until the connection is closed, each write once the last is taken. */
export function writeRepeatedly(
  socket: Socket,
  { piece, pauseMs }: EndlessAnswer,
  onWritten: (bytes: number) => void,
): void {
  const count = pauseMs === undefined
    ? Math.ceil(READ_BYTES / piece.length)
    : 1;
  const bytes = Buffer.from(piece.repeat(count));
  const write = () => {
    if (socket.destroyed) return;
    socket.write(bytes, (error) => {
      if (error) return;
      onWritten(bytes.length);
      // A turn of the event loop lets the client read.
      if (pauseMs === undefined) setImmediate(write);
      else setTimeout(write, pauseMs);
    });
  };
  write();
}
