import test from "ava";
import type { BackendResult } from "@dotterelmoor/network.backend";
import { buildRoute } from "../edge_fixture.ts";
import { wait } from "../process/intervals.ts";
import { createTestForwarder } from "./forwarder_fixture.ts";

/** Forwards one request that is sent to two servers; the sends end with the
 * given results once both have begun. */
async function forwardTwice(first: BackendResult, backup: BackendResult) {
  const results = [first, backup];
  let markStarted = () => {};
  const bothStarted = new Promise<void>((resolve) => markStarted = resolve);
  let sends = 0;
  const forwarder = createTestForwarder({
    stalls: { waitForPendingReads: () => wait(0), suspendedMs: () => 0 },
    send: async () => {
      const result = results[sends]!;
      sends += 1;
      if (sends === results.length) markStarted();
      await bothStarted;
      return result;
    },
  });
  const nowMs = performance.now();
  const { outcome } = await forwarder.forward({
    route: buildRoute(),
    host: "desk.example",
    requestId: "q1",
    fingerprint: "f1",
    object: undefined,
    method: "GET",
    path: "/a/x",
    headers: {},
    body: new Uint8Array(),
    arrivedAtMs: nowMs,
    deadlineAtMs: nowMs + 5_000,
    exitsAtMs: () => Infinity,
    signal: new AbortController().signal,
  });
  return { outcome, sends };
}

// The caller is told that the request was not run, although one of the servers
// may have run it.
for (
  const mayHaveRun of [
    { type: "timed_out" },
    { type: "connection_lost" },
    { type: "incomplete_answer" },
    { type: "cancelled", sent: true },
  ] as const
) {
  test(`guards against forgetting a send that ended as ${mayHaveRun.type} when the other one was not written`, async (t) => {
    const unsent: BackendResult = { type: "not_authorized" };
    for (const isFirst of [true, false]) {
      const { outcome, sends } = isFirst
        ? await forwardTwice(mayHaveRun, unsent)
        : await forwardTwice(unsent, mayHaveRun);
      t.is(sends, 2);
      t.is(outcome.type, "unknown");
    }
  });
}

test("guards against an unknown outcome when neither send was written", async (t) => {
  const unsent: BackendResult = { type: "not_authorized" };
  const { outcome } = await forwardTwice(unsent, unsent);
  t.is(outcome.type, "not-run");
});
