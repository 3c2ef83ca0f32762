import type { ServerResponse } from "node:http";
import test from "ava";
import type { ExecutionContext } from "ava";
import {
  buildDocument,
  buildRoute,
  buildServer,
  callEdge,
  createMemoryStore,
  startBackend,
} from "./edge_fixture.ts";
import type { CallerAnswer, TestBackend } from "./edge_fixture.ts";
import { startReadyEdge } from "./started_fixture.ts";

/** Timeout in milliseconds, longer than the edge needs to reject an endless
 * answer on a loaded machine. */
const TIMEOUT_MS = 20_000;

/** Answers of servers: the head once, then the piece without end. */
const ANSWERS: Readonly<
  Record<string, { readonly head: string; readonly piece: string }>
> = {
  "bytes that are not HTTP": { head: "", piece: "not HTTP" },
  "line breaks": { head: "", piece: "\r\n" },
  "a head": { head: "HTTP/1.1 200 OK\r\nx: ", piece: "a" },
  "interim answers": { head: "", piece: "HTTP/1.1 100 Continue\r\n\r\n" },
  "protocol switches": {
    head: "",
    piece: "HTTP/1.1 101 S\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n",
  },
  "a body": { head: "HTTP/1.1 200 OK\r\n\r\n", piece: "a" },
  "a failure in chunks": {
    head: "HTTP/1.1 500 Failed\r\ntransfer-encoding: chunked\r\n\r\n",
    piece: `400\r\n${"a".repeat(1_024)}\r\n`,
  },
  "a refusal in chunks": {
    head: "HTTP/1.1 503 Busy\r\ndotterelmoor-not-run: true\r\n" +
      "transfer-encoding: chunked\r\n\r\n",
    piece: `400\r\n${"a".repeat(1_024)}\r\n`,
  },
};

/** Writes on the raw connection until it is closed. */
function answerWithoutEnd(
  response: ServerResponse,
  { head, piece }: { readonly head: string; readonly piece: string },
): void {
  const socket = response.socket!;
  socket.write(head);
  const bytes = Buffer.from(piece.repeat(Math.ceil(65_536 / piece.length)));
  const write = () => {
    if (socket.destroyed) return;
    // Yields to the event loop, so that the edge can read.
    socket.write(bytes, (error) => {
      if (!error) setImmediate(write);
    });
  };
  write();
}

/** Starts an entry with the given servers; resolves with a function that sends a
 * request with an id. */
async function startEdgeFor(
  t: ExecutionContext,
  backends: readonly TestBackend[],
  repeatable: boolean,
): Promise<(id: string) => Promise<CallerAnswer>> {
  const store = createMemoryStore();
  const route = buildRoute({ repeatable, timeoutMs: TIMEOUT_MS });
  const document = buildDocument(1, [route]);
  store.put("orders", "config", { type: "document", document });
  backends.forEach(({ address }, index) => {
    const record = buildServer(`s${index}`, address);
    store.put("servers", record.id, { type: "server", record });
    t.teardown(() => backends[index]!.close());
  });
  const { settings } = await startReadyEdge(t, store);
  return (id) =>
    callEdge(settings.callers, {
      id,
      headers: {
        "dotterelmoor-object": id,
        "dotterelmoor-deadline-ms": String(TIMEOUT_MS),
      },
    });
}

for (const [name, bytes] of Object.entries(ANSWERS)) {
  test.serial(`guards against reporting a request as not run, or sending it again, after ${name} without end`, async (t) => {
    const handle = (_request: unknown, response: ServerResponse) =>
      answerWithoutEnd(response, bytes);
    const backends = [await startBackend(handle), await startBackend(handle)];
    const call = await startEdgeFor(t, backends, false);
    const { status } = await call("q1");
    // 504 would mean that the edge read bytes until the deadline.
    t.is(status, 502);
    const requests = backends.flatMap((backend) => backend.requests);
    t.deepEqual(requests, ["q1"]);
  });

  test.serial(`guards against failing a repeatable request after ${name} without end`, async (t) => {
    const endless = await startBackend((_request, response) =>
      answerWithoutEnd(response, bytes)
    );
    const whole = await startBackend();
    const call = await startEdgeFor(t, [endless, whole], true);
    // Objects spread over the servers; the edge stops selecting the endless
    // server after its first failures.
    for (let index = 0; index < 20; index++) {
      const { status, body } = await call(`q${index}`);
      t.is(status, 200);
      t.is(body, `answer to q${index}`);
      if (endless.requests.length > 0) break;
    }
    t.true(endless.requests.length > 0);
  });
}
