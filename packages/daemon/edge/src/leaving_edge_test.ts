import { connect } from "node:net";
import { text } from "node:stream/consumers";
import test from "ava";
import {
  buildRoute,
  callEdge,
  createMemoryStore,
  TEST_BOUNDS,
} from "./edge_fixture.ts";
import { EXIT_MARGIN_MS } from "./process/grace_period.ts";
import {
  putRouteAndServers,
  startBackends,
  startReadyEdge,
} from "./started_fixture.ts";

/** Time in milliseconds that callers and the route allow; longer than the grace
 * period. */
const LONG_MS = 10_000;
const GRACE_MS = 2_000;

/** Starts an edge with one server, which never answers; `sent` resolves when it
 * gets a request. */
async function startSilentEdge(t: Parameters<typeof startReadyEdge>[0]) {
  const store = createMemoryStore();
  let markSent = (_: string) => {};
  const sent = new Promise<string>((resolve) => markSent = resolve);
  const [backend] = await startBackends(t, [() => markSent("sent")]);
  const route = buildRoute({ repeatable: false, timeoutMs: LONG_MS });
  putRouteAndServers(store, [backend!], route);
  const bounds = { ...TEST_BOUNDS, graceMs: GRACE_MS };
  const { settings, leave } = await startReadyEdge(t, store, { bounds });
  const call = () =>
    callEdge(settings.callers, {
      method: "POST",
      headers: { "dotterelmoor-deadline-ms": String(LONG_MS) },
    });
  const { port } = settings.callers;
  return { backend: backend!, call, leave, port, sent };
}

function writePost(id: string, body: string): string {
  return `POST /a/x HTTP/1.1\r\nhost: desk.example\r\n` +
    `dotterelmoor-request-id: ${id}\r\n` +
    `dotterelmoor-deadline-ms: ${LONG_MS}\r\n` +
    `content-length: ${body.length}\r\n\r\n${body}`;
}

// It may not be sent again once it was cut, as a server may have run it.
test("guards against a request that is sent to a server during the shutdown and cut at its end", async (t) => {
  const { backend, call, leave } = await startSilentEdge(t);
  const left = leave();
  const answer = await call();
  t.like(answer, { status: 503, body: "leaving\n" });
  t.deepEqual(backend.requests, []);
  await left;
});

// A closed connection would not tell whether a server may have run the request.
test("guards against closing a connection without an answer when the process exits while its servers are at work", async (t) => {
  const { call, leave, sent } = await startSilentEdge(t);
  const answer = call();
  await Promise.race([answer, sent]);
  const startedAtMs = performance.now();
  const left = leave();
  t.like(await answer, { status: 504, body: "leaving\n" });
  // An earlier answer would take the place of the server's.
  t.true(performance.now() - startedAtMs >= GRACE_MS - EXIT_MARGIN_MS);
  await left;
});

// Only the request whose body is incomplete has certainly not run.
test("guards against a promise for a request that a server may have run when the process exits", async (t) => {
  const { backend, port, leave, sent } = await startSilentEdge(t);
  const socket = connect(port, "127.0.0.1");
  socket.write(
    writePost("q1", "text") + writePost("q2", "text").slice(0, -2),
  );
  await sent;
  const left = leave();
  const answers = (await text(socket)).match(/HTTP\/1.1 \d+|close/g);
  t.deepEqual(answers, ["HTTP/1.1 504", "HTTP/1.1 503", "close"]);
  t.deepEqual(backend.requests, ["q1"]);
  await left;
});
