import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { Worker } from "node:worker_threads";
import type { ExecutionContext } from "ava";
import test from "ava";
import { DisposableStore } from "@dotterelmoor/core.types";
import { wait } from "./intervals.ts";
import { startStalls } from "./stalls.ts";
import type { Stall } from "./stalls.ts";

/** Sends requests in a thread of its own and closes each connection before it
 * got an answer; then wakes the thread that waits for it. */
const LEAVING_CALLERS = `
const { connect } = require("node:net");
const { workerData } = require("node:worker_threads");
const { port, done, callers } = workerData;
let open = callers;
for (let index = 0; index < callers; index++) {
  const socket = connect(port, "127.0.0.1", () => {
    socket.write("GET / HTTP/1.1\\r\\nhost: a\\r\\n\\r\\n");
    setTimeout(() => socket.destroy(), 400);
  });
  socket.once("close", () => {
    open -= 1;
    if (open > 0) return;
    Atomics.store(done, 0, 1);
    Atomics.notify(done, 0);
  });
}
`;

function start(t: ExecutionContext) {
  const store = new DisposableStore();
  t.teardown(() => store.dispose());
  return startStalls({ store });
}

test.serial("guards against requests that wait although the process runs", async (t) => {
  const stalls = start(t);
  for (let index = 0; index < 10; index++) {
    await wait(30);
    t.is(stalls.settle(), undefined);
  }
});

// The monotonic clock does not count the time for which an instance is suspended.
test.serial("guards against a suspension that goes unnoticed", async (t) => {
  const store = new DisposableStore();
  t.teardown(() => store.dispose());
  const now = { steadyMs: 1_000, wallMs: 1_700_000_000_000 };
  const told: Stall[] = [];
  const stalls = startStalls({
    store,
    clocks: { steadyMs: () => now.steadyMs, wallMs: () => now.wallMs },
    onStall: (stall) => told.push(stall),
  });
  now.steadyMs += 100;
  now.wallMs += 5_100;
  const settling = stalls.settle();
  t.not(settling, undefined);
  await settling;
  t.is(stalls.suspendedMs(), 5_000);
  now.wallMs -= 60_000;
  t.is(stalls.suspendedMs(), 5_000);
  t.deepEqual(told, [{ stalledMs: 5_000, suspendedMs: 5_000 }]);
  t.is(stalls.takeLongestDelay(), 5_000);
  t.is(stalls.takeLongestDelay(), 0);
});

// The connections are in the listener's queue, and their ends behind their
// requests, when the process goes on.
test.serial("guards against requests that are sent on long after their callers left", async (t) => {
  const callers = 40;
  const stalls = start(t);
  let seen = 0;
  let present = 0;
  const server = createServer(async (_request, response) => {
    seen += 1;
    await stalls.settle();
    if (!response.destroyed) present += 1;
    response.end();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  const done = new Int32Array(new SharedArrayBuffer(4));
  const worker = new Worker(LEAVING_CALLERS, {
    eval: true,
    workerData: { port, done, callers },
  });
  t.teardown(() => worker.terminate());
  Atomics.wait(done, 0, 0, 10_000);
  t.is(done[0], 1);
  while (seen < callers) await wait(10);
  while (stalls.settle() !== undefined) await wait(10);
  t.is(present, 0);
});
