import { once } from "node:events";
import { createServer } from "node:http";
import { connect } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import test from "ava";
import type { ExecutionContext } from "ava";
import { HeaderLimit, MAX_PARSED_BYTES } from "./header_limit.ts";

/** Header line with a name and a value of one character. */
const LINE = "a:1\r\n";
const HOST = "host:x\r\n";

/** Starts a server that answers whether the head is over a changing limit. */
async function startLimitedServer(t: ExecutionContext, initialBytes: number) {
  const headerLimit = new HeaderLimit();
  let maxBytes = initialBytes;
  const server = createServer(
    { maxHeaderSize: MAX_PARSED_BYTES },
    (request, response) =>
      response.end(headerLimit.isExceeded(request, maxBytes) ? "over" : "in"),
  );
  headerLimit.watch(server);
  const setLimit = (bytes: number) => {
    maxBytes = bytes;
    headerLimit.set(bytes);
  };
  setLimit(initialBytes);
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return { open: () => connect(port, "127.0.0.1"), setLimit };
}

/** Sends a head of about a number of bytes; resolves to what was answered. */
async function ask(socket: Socket, bytes: number): Promise<string> {
  const lines = LINE.repeat(Math.floor((bytes - HOST.length) / LINE.length));
  socket.write(`GET / HTTP/1.1\r\n${HOST}${lines}\r\n`);
  const [data] = await once(socket, "data");
  return /\r\n\r\n(\w+)$/.exec(String(data))?.[1] ?? "none";
}

// A connection's parser stays with the bound on lines that it began with.
test("guards against a part of a head on a connection that is older than a higher limit", async (t) => {
  const { open, setLimit } = await startLimitedServer(t, 1_000);
  const old = open();
  t.is(await ask(old, 900), "in");
  setLimit(20_000);
  t.is(await ask(old, 19_000), "over");
  t.is(await ask(old, 900), "in");
  const young = open();
  t.is(await ask(young, 19_000), "in");
  setLimit(1_000);
  t.is(await ask(young, 19_000), "over");
  t.is(await ask(young, 900), "in");
});

test("guards against dropped lines under a limit above what the parser takes", async (t) => {
  const { open } = await startLimitedServer(t, 10 * MAX_PARSED_BYTES);
  t.is(await ask(open(), MAX_PARSED_BYTES), "in");
  t.is(await ask(open(), 2 * MAX_PARSED_BYTES), "over");
});
