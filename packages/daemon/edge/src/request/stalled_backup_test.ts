import test from "ava";
import { buildRoute } from "../edge_fixture.ts";
import { wait } from "../process/intervals.ts";
import { ANSWER, createTestForwarder } from "./forwarder_fixture.ts";

/** Forwards one request whose answer is overdue. If `isInSocket`, the answer
 * has arrived but is only read when the process settles. Returns the addresses
 * that the request was sent to. */
async function sendOverdue(isInSocket: boolean) {
  const sent: string[] = [];
  let markRead = () => {};
  const read = new Promise<void>((resolve) => markRead = resolve);
  const forwarder = createTestForwarder({
    stalls: {
      waitForPendingReads: async () => {
        if (sent.length === 0 || !isInSocket) return;
        markRead();
        await wait(1);
      },
      suspendedMs: () => 0,
    },
    send: async (address) => {
      sent.push(address);
      await read;
      return ANSWER;
    },
  });
  const timer = setTimeout(markRead, 1_500);
  const nowMs = performance.now();
  await forwarder.forward({
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
  clearTimeout(timer);
  return sent;
}

// The answer arrived during a stall of the process, and was not read yet.
test("guards against a backup request for an answer that arrived during a stall", async (t) => {
  const sent = await sendOverdue(true);
  t.is(sent.length, 1);
});

test("guards against an overdue answer without a backup request", async (t) => {
  const sent = await sendOverdue(false);
  t.is(sent.length, 2);
});
