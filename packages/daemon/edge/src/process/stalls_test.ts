import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import type { ExecutionContext } from "ava";
import test from "ava";
import { DisposableStore } from "@dotterelmoor/core.types";
import { waitForDisconnectingCallers } from "../leaving_callers_fixture.ts";
import { wait } from "./intervals.ts";
import { startStallDetector } from "./stalls.ts";
import type { Stall, StallDetector } from "./stalls.ts";

function start(t: ExecutionContext) {
  const store = new DisposableStore();
  t.teardown(() => store.dispose());
  return startStallDetector({ store });
}

/** Counts the event loop turns until socket data has been read. */
async function countTurns(stalls: StallDetector): Promise<number> {
  let turns = 0;
  let isOpen = true;
  const count = () => {
    turns += 1;
    if (isOpen) setImmediate(count);
  };
  setImmediate(count);
  await stalls.waitForPendingReads();
  isOpen = false;
  return turns;
}

test.serial("guards against requests that are delayed although the process has not stalled", async (t) => {
  const stalls = start(t);
  for (let index = 0; index < 10; index++) {
    await wait(30);
    t.true(await countTurns(stalls) <= 5);
  }
});

// The monotonic clock does not count the time for which an instance is
// suspended.
test.serial("guards against a suspension that is not detected", async (t) => {
  const store = new DisposableStore();
  t.teardown(() => store.dispose());
  const now = { steadyMs: 1_000, wallMs: 1_700_000_000_000 };
  const reported: Stall[] = [];
  const stalls = startStallDetector({
    store,
    clocks: { steadyMs: () => now.steadyMs, wallMs: () => now.wallMs },
    onStall: (stall) => reported.push(stall),
  });
  now.steadyMs += 100;
  now.wallMs += 5_100;
  const startedAtMs = performance.now();
  await stalls.waitForPendingReads();
  // Four turns of at least 5 ms; timers may round down.
  t.true(performance.now() - startedAtMs >= 16);
  t.is(stalls.suspendedMs(), 5_000);
  now.wallMs -= 60_000;
  t.is(stalls.suspendedMs(), 5_000);
  t.deepEqual(reported, [{ stalledMs: 5_000, suspendedMs: 5_000 }]);
  t.is(stalls.takeLongestDelay(), 5_000);
  t.is(stalls.takeLongestDelay(), 0);
});

// When the process resumes, the connections are in the listener's backlog, and
// each request is followed by the end of its connection.
test.serial("guards against requests that are forwarded long after their callers disconnected", async (t) => {
  const callers = 40;
  const stalls = start(t);
  let settled = 0;
  let present = 0;
  const server = createServer(async (_request, response) => {
    await stalls.waitForPendingReads();
    settled += 1;
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
  waitForDisconnectingCallers(t, { port, callers });
  while (settled < callers) await wait(10);
  t.is(present, 0);
});
