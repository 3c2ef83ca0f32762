/**
 * A raw server whose answers the test writes, and a client of it.
 *
 * @module
 */

import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import type { ExecutionContext } from "ava";
import { createBackendClient } from "./mod.ts";
import type {
  BackendClientOptions,
  BackendRequest,
  BackendResult,
} from "./mod.ts";

/** Options of `startRawClient`. */
export interface RawClientOptions extends BackendClientOptions {
  /** Called with the id in each head; bytes of bodies are read and dropped. */
  readonly onHead: (socket: Socket, requestId: string) => void;
}

/** Starts a server and a client; both close after the test. */
export async function startRawClient(
  t: ExecutionContext,
  { onHead, ...options }: RawClientOptions,
) {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on("error", () => {});
    socket.on("data", (chunk) => {
      const id = /request-id: (.*)\r/.exec(chunk.toString("latin1"))?.[1];
      if (id !== undefined) onHead(socket, id);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const client = createBackendClient(options);
  t.teardown(() => {
    client.close();
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  const send = (
    requestId: string,
    changes: Partial<BackendRequest> = {},
  ): Promise<BackendResult> =>
    client.send({
      address: `127.0.0.1:${port}`,
      method: "POST",
      path: "/",
      headers: {},
      deadlineMs: 1_000,
      requestId,
      ...changes,
    });
  return { send, sockets };
}

/** Builds a response without a body. */
export function buildResponse(
  requestId: string,
  { status = 200, headers = ["content-length: 0"] }: {
    readonly status?: number;
    readonly headers?: readonly string[];
  } = {},
): string {
  const lines = [`dotterelmoor-request-id: ${requestId}`, ...headers];
  return `HTTP/1.1 ${status} Status\r\n${lines.join("\r\n")}\r\n\r\n`;
}
