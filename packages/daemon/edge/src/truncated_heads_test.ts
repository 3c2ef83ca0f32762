import test from "ava";
import type { ExecutionContext } from "ava";
import {
  buildDocument,
  buildRoute,
  buildServer,
  callEdge,
  createMemoryStore,
} from "./edge_fixture.ts";
import {
  buildBody,
  buildRawAnswer,
  startRawServer,
} from "./raw_servers_fixture.ts";
import type { Framing } from "./raw_servers_fixture.ts";
import { startReadyEdge } from "./started_fixture.ts";

const SERVERS = 4;

/** Number of concurrent callers. */
const CALLERS = 6;

/** How a server closes the connection after the bytes that it wrote. */
const ENDINGS = ["closed", "reset"] as const;

interface TruncationCase {
  readonly framing: Framing;
  readonly ending: (typeof ENDINGS)[number];
  readonly repeatable: boolean;
}

const CASES = (["length", "chunked", "close"] as const).flatMap((framing) =>
  ENDINGS.flatMap((ending) =>
    [true, false].map((repeatable): TruncationCase => ({
      framing,
      ending,
      repeatable,
    }))
  )
);

/** Starts two entries and servers that truncate every answer within its head.
 * Each answer is one byte longer than the one before; the length starts at 0
 * again before the head would be complete. */
async function startTruncating(t: ExecutionContext, testCase: TruncationCase) {
  const { framing, ending, repeatable } = testCase;
  const store = createMemoryStore();
  const route = buildRoute({ repeatable, maxAttempts: SERVERS });
  const document = buildDocument(1, [route]);
  store.put("orders", "config", { type: "document", document });
  const runs = new Map<string, number>();
  let sent = 0;
  for (let number = 0; number < SERVERS; number++) {
    const address = await startRawServer(t, ({ requestId, socket }) => {
      runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
      const answer = buildRawAnswer(requestId, framing);
      const headBytes = answer.indexOf("\r\n\r\n") + 4;
      const part = answer.slice(0, sent % headBytes);
      sent += 1;
      socket.write(part, () => {
        if (ending === "closed") socket.end();
        else socket.resetAndDestroy();
      });
    });
    const record = buildServer(`s${number}`, address);
    store.put("servers", record.id, { type: "server", record });
  }
  const first = await startReadyEdge(t, store, { instance: "n1" });
  const seeds = [`127.0.0.1:${first.settings.peers.port}`];
  const second = await startReadyEdge(t, store, { instance: "n2", seeds });
  const edges = [first, second].map(({ settings }) => settings.callers);
  return { edges, runs };
}

// An answer that is truncated within its head has no complete body, and doesn't
// show whether the request was run.
for (const testCase of CASES) {
  const { framing, ending, repeatable } = testCase;
  test.serial(`guards against an answer truncated in its head that counts as complete or as not run, ${framing}, ${ending}, repeatable ${repeatable}`, async (t) => {
    const { edges, runs } = await startTruncating(t, testCase);
    const statuses = new Map<number, number>();
    const callAll = async (caller: number) => {
      for (let call = 0; call < 20; call++) {
        const id = `q${caller}-${call}`;
        const edge = edges[caller % edges.length]!;
        const { status, body } = await callEdge(edge, { id });
        statuses.set(status, (statuses.get(status) ?? 0) + 1);
        t.false(status >= 200 && status < 300, `${status} ${body}`);
        if ((runs.get(id) ?? 0) > 0) t.not(status, 503);
        if (!repeatable) t.true((runs.get(id) ?? 0) <= 1);
        t.not(body, buildBody(id));
      }
    };
    await Promise.all(
      Array.from({ length: CALLERS }, (_, caller) => callAll(caller)),
    );
    t.true((statuses.get(502) ?? 0) > 0);
  });
}
