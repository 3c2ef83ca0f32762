import { createServer } from "node:net";
import type { Socket } from "node:net";
import type { AddressInfo } from "node:net";
import test from "ava";
import { createBackendClient, DEFAULT_PROTOCOL } from "./mod.ts";

const PROTOCOL = {
  ...DEFAULT_PROTOCOL,
  acceptsCloseDelimited: true,
  echoesRequestId: true,
};

/** Sends one request to a server that writes its response to the raw socket. */
async function sendTo(
  answer: (socket: Socket) => void,
  onHead: (socket: Socket) => void = () => {},
) {
  let accepted: Socket | undefined;
  const server = createServer((socket) => {
    accepted = socket;
    socket.on("error", () => {});
    socket.once("data", () => answer(socket));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as AddressInfo;
  const client = createBackendClient({ protocol: PROTOCOL });
  const result = await client.send({
    address: `127.0.0.1:${port}`,
    method: "GET",
    path: "/",
    headers: {},
    deadlineMs: 2_000,
    requestId: "r1",
    onHead: () => onHead(accepted!),
  });
  client.close();
  server.close();
  return result;
}

const HEAD = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";

test("guards against the rejection of a complete close-delimited response", async (t) => {
  const result = await sendTo((socket) => socket.end(`${HEAD}whole`));
  t.is(result.type, "answered");
  if (result.type !== "answered") return;
  t.is(Buffer.from(result.body).toString(), "whole");
});

test("guards against a close-delimited response that a reset truncates", async (t) => {
  const result = await sendTo(
    (socket) => socket.write(`${HEAD}par`),
    (socket) => socket.resetAndDestroy(),
  );
  t.is(result.type, "incomplete_answer");
});

test("guards against a reset that arrives together with a part of the response", async (t) => {
  const result = await sendTo((socket) => {
    socket.write(`${HEAD}par`, () => {
      setImmediate(() => socket.resetAndDestroy());
    });
  });
  t.is(result.type, "incomplete_answer");
});

test("guards against the response to another request", async (t) => {
  const result = await sendTo((socket) =>
    socket.end(
      "HTTP/1.1 200 OK\r\ndotterelmoor-request-id: r0\r\n" +
        "content-length: 2\r\n\r\nok",
    )
  );
  t.is(result.type, "incomplete_answer");
});
