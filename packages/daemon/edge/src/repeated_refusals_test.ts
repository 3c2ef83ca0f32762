import type { Socket } from "node:net";
import test from "ava";
import type { ExecutionContext } from "ava";
import {
  buildDocument,
  buildRoute,
  buildServer,
  callEdge,
  createMemoryStore,
} from "./edge_fixture.ts";
import { buildRawAnswer, startRawServer } from "./raw_servers_fixture.ts";
import { startReadyEdge } from "./started_fixture.ts";

/** Run time of a request in milliseconds. */
const RUN_MS = 30;

const CALLS = 5;

function buildRefusal(requestId: string): string {
  return "HTTP/1.1 503 Service Unavailable\r\n" +
    `dotterelmoor-request-id: ${requestId}\r\n` +
    "dotterelmoor-not-run: true\r\ncontent-length: 0\r\n\r\n";
}

/** Starts a server that refuses each request once and runs it if it comes
 * again. If it comes on the connection of the refusal, the server repeats the
 * refusal while the request runs. */
async function startRefusingServer(
  t: ExecutionContext,
  runs: Map<string, number>,
) {
  const refusedOn = new Map<string, Socket>();
  return await startRawServer(t, ({ requestId, socket }) => {
    const refusal = buildRefusal(requestId);
    const connection = refusedOn.get(requestId);
    if (connection === undefined) {
      refusedOn.set(requestId, socket);
      socket.write(refusal);
      return;
    }
    runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
    if (connection === socket) socket.write(refusal);
    const answer = buildRawAnswer(requestId, "length");
    setTimeout(() => socket.write(answer), RUN_MS);
  });
}

/** Starts an entry and servers of a route that may run once; each server has
 * the given number of records. */
async function startSystem(
  t: ExecutionContext,
  options: { readonly servers: number; readonly recordsPerServer: number },
) {
  const runs = new Map<string, number>();
  const store = createMemoryStore();
  const route = buildRoute({ repeatable: false, maxAttempts: 4 });
  const document = buildDocument(1, [route]);
  store.put("orders", "config", { type: "document", document });
  for (let server = 0; server < options.servers; server++) {
    const address = await startRefusingServer(t, runs);
    for (let number = 0; number < options.recordsPerServer; number++) {
      const record = buildServer(`s${server}-${number}`, address);
      store.put("servers", record.id, { type: "server", record });
    }
  }
  const { settings } = await startReadyEdge(t, store, { instance: "n1" });
  const call = async (id: string) =>
    (await callEdge(settings.callers, { id, method: "POST" })).status;
  /** Sends requests one after the other; resolves to their statuses by id. */
  const callAll = async () => {
    const statuses = new Map<string, number>();
    for (let number = 0; number < CALLS; number++) {
      const id = `q${number}`;
      statuses.set(id, await call(id));
    }
    return statuses;
  };
  return { call, callAll, runs };
}

/** Fails if a request ran after it was refused, or more than once. */
function assertNoUntrueRefusal(
  t: ExecutionContext,
  statuses: ReadonlyMap<string, number>,
  runs: ReadonlyMap<string, number>,
) {
  t.log({ statuses: [...statuses.values()], runs: [...runs.values()] });
  const refusedRuns = [...statuses]
    .filter(([id, status]) => status === 503 && runs.has(id));
  t.deepEqual(refusedRuns, []);
  t.deepEqual([...runs].filter(([, count]) => count > 1), []);
  t.true(runs.size > 0);
}

// A server that starts again at its address has a new record beside the old
// one, and sends for both use the same connections.
test("guards against a copied refusal that counts for a request sent again to the address that refused it", async (t) => {
  const { callAll, runs } = await startSystem(t, {
    servers: 1,
    recordsPerServer: 2,
  });
  assertNoUntrueRefusal(t, await callAll(), runs);
});

// After a refusal that counts for a running request, the request is sent on.
test("guards against a second run after a copied refusal that counts for the first one", async (t) => {
  const { callAll, runs } = await startSystem(t, {
    servers: 2,
    recordsPerServer: 2,
  });
  assertNoUntrueRefusal(t, await callAll(), runs);
});

// The promise of a refusal allows callers to send the request again.
test("guards against a copied refusal that counts for a request that its caller sends again", async (t) => {
  const { call, runs } = await startSystem(t, {
    servers: 1,
    recordsPerServer: 1,
  });
  const statuses = new Map<string, number>();
  for (let number = 0; number < CALLS; number++) {
    const id = `q${number}`;
    t.is(await call(id), 503);
    t.false(runs.has(id));
    // The server is selected again once its refusal has lost weight.
    let status = await call(id);
    while (status === 503 && !runs.has(id)) status = await call(id);
    statuses.set(id, status);
  }
  assertNoUntrueRefusal(t, statuses, runs);
});
