/**
 * Test server on a raw socket whose responses never end.
 *
 * @module
 */

import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import type { ExecutionContext } from "ava";
import { createBackendClient, DEFAULT_PROTOCOL } from "./mod.ts";
import type { BackendResult } from "./mod.ts";

/** Accepts close-delimited responses and checks the echoed request id. */
export const PROTOCOL = {
  ...DEFAULT_PROTOCOL,
  acceptsCloseDelimited: true,
  echoesRequestId: true,
};

/** Bound of the tests' client on a response body. */
export const MAX_ANSWER_BYTES = 256 * 1_024;

/** Bytes that a server can write to the kernel beyond those that the client
 * has read: on Linux, a send buffer grows to 4 MiB and a receive buffer to
 * 6 MiB. */
export const SOCKET_BUFFER_BYTES = 16 * 1_024 * 1_024;

/** Largest read from a socket in Node.js, and the size of the server's
 * writes. */
export const READ_BYTES = 64 * 1_024;

/** Long enough on a loaded machine for the client's bounds, and not the
 * deadline, to end a response that is sent at full speed. */
export const DEADLINE_MS = 20_000;

/** A response that never ends. */
export interface EndlessAnswer {
  /** Sent once. */
  readonly head: string;
  /** Sent repeatedly. */
  readonly piece: string;
  /** Pause in milliseconds between pieces; none if undefined. */
  readonly pauseMs?: number;
  readonly method?: string;
  readonly deadlineMs?: number;
}

/** Result of a send with its duration and the bytes that the server wrote. */
export interface SendObservation {
  readonly result: BackendResult;
  readonly elapsedMs: number;
  /** Bytes that the server wrote to its kernel before the connection closed. */
  readonly writtenBytes: number;
}

/** Sends one request; resolves once the server's socket is closed as well. */
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

/** Writes pieces until the connection closes, each after the previous write has
 * been flushed. */
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
      // The client reads in the next turn of the event loop.
      if (pauseMs === undefined) setImmediate(write);
      else setTimeout(write, pauseMs);
    });
  };
  write();
}
