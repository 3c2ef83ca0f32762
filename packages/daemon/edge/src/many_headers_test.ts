import test from "ava";
import { callEdge, createMemoryStore } from "./edge_fixture.ts";
import {
  putRouteAndServers,
  startBackends,
  startReadyEdge,
} from "./started_fixture.ts";

/** Names and values that a caller sends; more lines than a server on Node.js
 * keeps by default. */
const MANY = Object.fromEntries(
  Array.from({ length: 1_100 }, (_, index) => [`x${index}`, ""]),
);

const BODY = "slot=4&station=7";

// Behind the caller's lines, a server with such a parser read no target, and ran
// what was meant for another one, without a bound on its time.
test("guards against a server that does not read the headers of the entry behind those of the caller", async (t) => {
  const lengths: (string | undefined)[] = [];
  const store = createMemoryStore();
  const [backend] = await startBackends(t, [(request, response) => {
    lengths.push(request.headers["content-length"]);
    response.end("ok");
  }]);
  putRouteAndServers(store, [backend!]);
  const { settings } = await startReadyEdge(t, store);
  const { status } = await callEdge(settings.callers, {
    method: "POST",
    id: "q7",
    headers: { ...MANY, "dotterelmoor-target": "another" },
    body: BODY,
  });
  t.is(status, 200);
  const [headers] = backend!.headers;
  t.is(headers?.host, "desk.example");
  t.is(headers?.["dotterelmoor-request-id"], "q7");
  t.is(headers?.["dotterelmoor-target"], "s0");
  t.true(Number(headers?.["dotterelmoor-deadline-ms"]) <= 1_000);
  t.deepEqual(lengths, [String(BODY.length)]);
});
