import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import test from "ava";
import type { ExecutionContext } from "ava";
import { createBackendClient, DEFAULT_PROTOCOL } from "./mod.ts";
import type { BackendClientOptions, BackendResult } from "./mod.ts";

const PROTOCOL = { ...DEFAULT_PROTOCOL, echoesRequestId: true };

function buildRefusal(requestId: string): string {
  return "HTTP/1.1 503 Service Unavailable\r\n" +
    `dotterelmoor-request-id: ${requestId}\r\n` +
    "dotterelmoor-not-run: true\r\ncontent-length: 0\r\n\r\n";
}

function buildAnswer(requestId: string): string {
  return "HTTP/1.1 200 OK\r\n" +
    `dotterelmoor-request-id: ${requestId}\r\ncontent-length: 0\r\n\r\n`;
}

function buildFailure(requestId: string): string {
  return "HTTP/1.1 500 Internal Server Error\r\n" +
    `dotterelmoor-request-id: ${requestId}\r\ncontent-length: 0\r\n\r\n`;
}

/** What a server writes for a request: `copy` is the last refusal or failure on
 * the connection, before the answer. */
type Reply = "answer" | "copy" | "failure" | "refusal";

/** Starts a server that replies as told, and a client of it. */
async function startPair(
  t: ExecutionContext,
  options: BackendClientOptions = {},
) {
  const sockets: Socket[] = [];
  const replies: Reply[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    let last = "";
    socket.on("error", () => {});
    socket.on("data", (chunk) => {
      const id = /request-id: (.*)\r/.exec(chunk.toString())?.[1] ?? "";
      const reply = replies.shift() ?? "answer";
      if (reply === "refusal" || reply === "failure") {
        last = reply === "refusal" ? buildRefusal(id) : buildFailure(id);
        socket.write(last);
      } else {
        socket.write((reply === "copy" ? last : "") + buildAnswer(id));
      }
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as AddressInfo;
  const client = createBackendClient({ protocol: PROTOCOL, ...options });
  t.teardown(() => {
    client.close();
    server.close();
  });
  const send = (requestId: string, reply: Reply): Promise<BackendResult> => {
    replies.push(reply);
    return client.send({
      address: `127.0.0.1:${port}`,
      method: "POST",
      path: "/",
      headers: {},
      deadlineMs: 2_000,
      requestId,
    });
  };
  return { send, countConnections: () => sockets.length, sockets };
}

// The copy bears the id of the request that is under way.
test("guards against a copied refusal that counts for the same request on the same connection", async (t) => {
  const { send, countConnections } = await startPair(t);
  t.is((await send("r1", "refusal")).type, "refused");
  t.is((await send("r1", "copy")).type, "answered");
  t.is(countConnections(), 2);
});

// A failed request may be sent again to a server's second record.
test("guards against a copied failure that counts for the same request on the same connection", async (t) => {
  const { send, countConnections } = await startPair(t);
  t.like(await send("r1", "failure"), { type: "answered", status: 500 });
  t.like(await send("r1", "copy"), { type: "answered", status: 200 });
  t.is(countConnections(), 2);
});

// A copy of the first refusal may also come after other requests.
test("guards against a request that returns to the connection that refused it earlier", async (t) => {
  const { send, countConnections } = await startPair(t);
  await send("r1", "refusal");
  for (const id of ["r2", "r3"]) {
    t.is((await send(id, "answer")).type, "answered");
  }
  t.is(countConnections(), 1);
  t.is((await send("r1", "copy")).type, "answered");
  t.is(countConnections(), 2);
});

test("guards against closing a connection because it carried a refusal", async (t) => {
  const { send, countConnections } = await startPair(t);
  for (let number = 0; number < 20; number++) {
    t.is((await send(`r${number}`, "refusal")).type, "refused");
  }
  t.is(countConnections(), 1);
});

// All connections that the limit allows have refused the request.
test("guards against a request that waits for a connection that it may not use", async (t) => {
  const { send, countConnections, sockets } = await startPair(t, {
    maxConnectionsPerServer: 1,
  });
  await send("r1", "refusal");
  t.is((await send("r1", "answer")).type, "answered");
  t.is(countConnections(), 2);
  t.true(sockets[0]!.destroyed || sockets[0]!.readableEnded);
});

test("guards against unbounded ids of refused requests on one connection", async (t) => {
  const { send, countConnections } = await startPair(t);
  for (let number = 0; number < 1_000; number++) {
    await send(`r${number}`, "refusal");
  }
  t.true(countConnections() > 1);
  t.true(countConnections() < 50);
  t.log({ connections: countConnections() });
});
