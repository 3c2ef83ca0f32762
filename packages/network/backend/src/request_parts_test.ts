import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import test from "ava";
import { createBackendClient } from "./mod.ts";

const PARTS = [1, 70_000, 1, 0, 300_000].map((length, index) =>
  Buffer.alloc(length, index + 1)
);

test("guards against a request body in parts that is cut or has no length", async (t) => {
  const received: (readonly [length: string | undefined, body: Buffer])[] = [];
  const server = createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on("data", (chunk: Buffer) => chunks.push(chunk));
    request.on("end", () => {
      const length = request.headers["content-length"];
      received.push([length, Buffer.concat(chunks)]);
      response.end();
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const client = createBackendClient();
  t.teardown(() => {
    client.close();
    server.close();
  });
  const bodies = [PARTS, PARTS.slice(1, 2), PARTS.slice(3, 4), []];
  for (const body of bodies) {
    const result = await client.send({
      address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
      method: "POST",
      path: "/",
      headers: {},
      body,
      deadlineMs: 10_000,
      requestId: "r1",
    });
    t.is(result.type, "answered");
  }
  t.deepEqual(received.map(([, body]) => body.length), [370_002, 70_000, 0, 0]);
  t.true(received[0]![1].equals(Buffer.concat(PARTS)));
  t.deepEqual(received.slice(0, 2).map(([length]) => length), [
    "370002",
    "70000",
  ]);
});
