/**
 * Backend servers for which the test writes the raw bytes of the answers.
 *
 * @module
 */

import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import type { ExecutionContext } from "ava";

/** A request that a raw server has read. */
export interface RawRequest {
  readonly requestId: string;
  /** Number of requests that the server has read before. */
  readonly count: number;
  readonly socket: Socket;
}

/** Starts a server that calls back for each request, which must have no body;
 * it closes after the test. Resolves with its `host:port`. */
export async function startRawServer(
  t: ExecutionContext,
  onRequest: (request: RawRequest) => void,
): Promise<string> {
  const sockets = new Set<Socket>();
  let count = 0;
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.on("close", () => sockets.delete(socket));
    let read = "";
    socket.on("data", (chunk: Buffer) => {
      read += chunk.toString("latin1");
      for (
        let end = read.indexOf("\r\n\r\n");
        end >= 0;
        end = read.indexOf("\r\n\r\n")
      ) {
        const head = read.slice(0, end);
        read = read.slice(end + 4);
        const requestId = /^dotterelmoor-request-id: (.*)$/im.exec(head)?.[1] ??
          "";
        onRequest({ requestId, count, socket });
        count += 1;
      }
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Builds the body of the answer to a request. */
export function buildBody(requestId: string): string {
  return `answer to ${requestId}`;
}

/** How an answer marks the end of its body. */
export type Framing = "length" | "chunked" | "close";

const FRAMINGS: Readonly<Record<Framing, (body: string) => string>> = {
  length: (body) => `content-length: ${body.length}\r\n\r\n${body}`,
  chunked: (body) =>
    `transfer-encoding: chunked\r\n\r\n${
      body.length.toString(16)
    }\r\n${body}\r\n0\r\n\r\n`,
  close: (body) => `connection: close\r\n\r\n${body}`,
};

/** Builds the bytes of a complete answer. */
export function buildRawAnswer(requestId: string, framing: Framing): string {
  const head = `HTTP/1.1 200 OK\r\ndotterelmoor-request-id: ${requestId}\r\n`;
  return head + FRAMINGS[framing](buildBody(requestId));
}
