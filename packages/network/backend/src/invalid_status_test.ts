import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import test from "ava";
import { createBackendClient, DEFAULT_PROTOCOL } from "./mod.ts";

/** Sends one request to a server that answers with the given status line. */
async function sendTo(statusLine: string) {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.write(`${statusLine}\r\ncontent-length: 2\r\n\r\nok`);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as AddressInfo;
  const client = createBackendClient({ protocol: DEFAULT_PROTOCOL });
  const result = await client.send({
    address: `127.0.0.1:${port}`,
    method: "GET",
    path: "/",
    headers: {},
    deadlineMs: 2_000,
    requestId: "r1",
  });
  client.close();
  server.close();
  return result;
}

// Callers would get bytes that are no answer in the protocol: Node.js writes
// statuses up to 999, and none below 100.
for (
  const statusLine of [
    "HTTP/1.1 000 None",
    "HTTP/1.0 000 None",
    "HTTP/1.1 099 Odd",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 None",
    "HTTP/1.1 600 Odd",
    "HTTP/1.1 999 Odd",
    "HTTP/2.0 200 OK",
  ]
) {
  const name = statusLine.replaceAll("\r\n", " ");
  test(`guards against a response that cannot be forwarded: ${name}`, async (t) => {
    t.is((await sendTo(statusLine)).type, "incomplete_answer");
  });
}

test("guards against the rejection of an unusual but valid status", async (t) => {
  const result = await sendTo("HTTP/1.1 599 Odd");
  t.is(result.type, "answered");
  if (result.type === "answered") t.is(result.status, 599);
});
