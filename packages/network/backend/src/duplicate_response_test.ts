import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import type { ExecutionContext } from "ava";
import test from "ava";
import { createBackendClient, DEFAULT_PROTOCOL } from "./mod.ts";

const PROTOCOL = { ...DEFAULT_PROTOCOL, echoesRequestId: true };

/** Sends two requests in sequence to a server that answers the requests on a
 * connection with the given texts. */
async function sendTwo(
  t: ExecutionContext,
  answers: readonly string[],
  expectedConnections = 1,
) {
  let connections = 0;
  const server = createServer((socket) => {
    connections += 1;
    let requests = 0;
    socket.on("error", () => {});
    socket.on("data", () => {
      const answer = answers[requests];
      requests += 1;
      if (answer !== undefined) socket.write(answer);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as AddressInfo;
  const client = createBackendClient({ protocol: PROTOCOL });
  t.teardown(() => {
    client.close();
    server.close();
  });
  const send = (requestId: string) =>
    client.send({
      address: `127.0.0.1:${port}`,
      method: "GET",
      path: "/",
      headers: {},
      deadlineMs: 2_000,
      requestId,
    });
  const results = [await send("r1"), await send("r2")];
  t.is(connections, expectedConnections);
  return results;
}

function buildAnswer(body: string, header = ""): string {
  return `HTTP/1.1 200 OK\r\n${header}content-length: ${body.length}\r\n\r\n` +
    body;
}

const FIRST = buildAnswer("first", "dotterelmoor-request-id: r1\r\n");
const SECOND = buildAnswer("second", "dotterelmoor-request-id: r2\r\n");

// A server repeats a response while the connection carries the next request.
test("guards against a late copy without an id that is delivered to the next caller", async (t) => {
  const copy = buildAnswer("first");
  const [first, second] = await sendTwo(t, [FIRST, copy + SECOND]);
  t.is(first!.type, "answered");
  t.is(second!.type, "incomplete_answer");
});

test("guards against a late copy with the first id that is delivered to the next caller", async (t) => {
  const [, second] = await sendTwo(t, [FIRST, FIRST + SECOND]);
  t.is(second!.type, "incomplete_answer");
});

// After a response without an id, the next request goes on another connection,
// so that servers that repeat no ids can be used.
test("guards against the rejection of responses without an id on new connections", async (t) => {
  const answers = [buildAnswer("plain"), buildAnswer("copy")];
  const results = await sendTwo(t, answers, 2);
  for (const result of results) {
    t.like(result, { type: "answered", body: Buffer.from("plain") });
  }
});

test("guards against the rejection of a second response with the right id", async (t) => {
  const [, second] = await sendTwo(t, [FIRST, SECOND]);
  t.is(second!.type, "answered");
});
