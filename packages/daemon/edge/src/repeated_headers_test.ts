import { once } from "node:events";
import { connect } from "node:net";
import test from "ava";
import type { ExecutionContext } from "ava";
import { createMemoryStore } from "./edge_fixture.ts";
import {
  putRouteAndServers,
  startBackends,
  startReadyEdge,
} from "./started_fixture.ts";

/** Header lines that must arrive as they were sent, by lower-case name. */
const REPEATED: Readonly<Record<string, readonly string[]>> = {
  // Node.js drops the second of these, which makes the message look sound.
  authorization: ["a", "b"],
  "content-type": ["text/plain", "text/html"],
  "if-modified-since": ["Mon, 07 Dec 2026 04:00:00 GMT", "never"],
  // Its values contain commas and can't be joined by them.
  "set-cookie": ["a=1; expires=Mon, 07 Dec 2026 04:00:00 GMT", "b=2"],
  "x-list": ["1", "", "2, 3"],
  // Names that have a meaning to objects.
  __proto__: ["x"],
  constructor: ["y"],
};
// As a key of a literal, it sets the prototype.
Object.defineProperty(REPEATED, "__proto__", {
  value: ["x"],
  enumerable: true,
});

const LINES = Object.entries(REPEATED).flatMap(([name, values]) =>
  values.map((value) => [name, value] as const)
);

/** Lists the values of each of the names in raw header lines. */
function listValues(rawHeaders: readonly string[]) {
  return Object.keys(REPEATED).map((name) => [
    name,
    rawHeaders.filter((_text, index) =>
      index % 2 === 1 && rawHeaders[index - 1]!.toLowerCase() === name
    ),
  ]);
}

/** Starts an edge with one server, which answers with the lines. */
async function startRepeatingEdge(t: ExecutionContext) {
  const received: string[][] = [];
  const store = createMemoryStore();
  const [backend] = await startBackends(t, [(request, response) => {
    received.push(request.rawHeaders);
    response.setHeader("x-mark", "1");
    for (const [name, values] of Object.entries(REPEATED)) {
      response.setHeader(name, values);
    }
    response.end("ok");
  }]);
  putRouteAndServers(store, [backend!]);
  const { settings } = await startReadyEdge(t, store);
  /** Sends header lines; resolves to the bytes of the answer. */
  const send = async (lines: readonly string[]) => {
    const socket = connect(settings.callers);
    t.teardown(() => socket.destroy());
    socket.setEncoding("latin1").write(
      ["GET /a/x HTTP/1.1", "dotterelmoor-request-id: q1", ...lines, "", ""]
        .join("\r\n"),
    );
    let text = "";
    socket.on("data", (part) => text += part);
    while (!text.includes("\r\n\r\n")) await once(socket, "data");
    return text;
  };
  return { received, send };
}

// Each line counts: a proxy that drops one hides it from the server.
test("guards against header lines of a request that are dropped because their name is repeated", async (t) => {
  const { received, send } = await startRepeatingEdge(t);
  await send([
    "host: desk.example",
    ...LINES.map(([name, value]) => `${name}: ${value}`),
  ]);
  t.deepEqual(listValues(received[0]!), listValues(LINES.flat()));
});

// A client kept one cookie of two, with a part of the other in it.
test("guards against header lines of an answer that are dropped or joined because their name is repeated", async (t) => {
  const { send } = await startRepeatingEdge(t);
  const answer = await send(["host: desk.example"]);
  const [head] = answer.split("\r\n\r\n");
  const rawHeaders = head!.split("\r\n").slice(1).flatMap((line) => {
    const colon = line.indexOf(":");
    return [line.slice(0, colon), line.slice(colon + 1).trim()];
  });
  t.deepEqual(listValues(rawHeaders), listValues(LINES.flat()));
});

/** Lines that repeat a header which must stand once. */
const AMBIGUOUS: Readonly<Record<string, string>> = {
  "another host": "host: other.example",
  "the same host": "Host: desk.example",
  "another id": "Dotterelmoor-Request-Id: q2",
  "the same id": "dotterelmoor-request-id: q1",
};

// Its route was chosen by the first host, while a server may go by the second;
// two ids were joined to one that nobody had sent.
for (const [name, line] of Object.entries(AMBIGUOUS)) {
  test(`guards against forwarding a request that repeats its host or id: ${name}`, async (t) => {
    const { received, send } = await startRepeatingEdge(t);
    const answer = await send(["host: desk.example", line]);
    t.regex(answer, /^HTTP\/1.1 400 /);
    t.deepEqual(received, []);
  });
}

test("guards against splitting a caller's cookies into headers of their own", async (t) => {
  const { received, send } = await startRepeatingEdge(t);
  await send(["host: desk.example", "cookie: a=1", "Cookie: b=2"]);
  const cookies = received[0]!.filter((_text, index) =>
    index % 2 === 1 && received[0]![index - 1]!.toLowerCase() === "cookie"
  );
  t.deepEqual(cookies, ["a=1; b=2"]);
});
