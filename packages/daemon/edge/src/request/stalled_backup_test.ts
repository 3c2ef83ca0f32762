import test from "ava";
import { buildRoute } from "../edge_fixture.ts";
import { wait } from "../process/intervals.ts";
import { ANSWER, createTestForwarder } from "./forwarder_fixture.ts";

/** Forwards one request whose answer is overdue; `isInSocket` tells whether it
 * has arrived, and is read when the sockets are. */
async function sendOverdue(isInSocket: boolean) {
  const sent: string[] = [];
  let markRead = () => {};
  const read = new Promise<void>((resolve) => markRead = resolve);
  const forwarder = createTestForwarder({
    stalls: {
      settle: async () => {
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
    signal: new AbortController().signal,
  });
  clearTimeout(timer);
  return sent;
}

// Its answer arrived while the process stood still, and was not read yet.
test("guards against a run that is started again because its entry stood still", async (t) => {
  const sent = await sendOverdue(true);
  t.is(sent.length, 1);
});

test("guards against an overdue answer that no second server is asked for", async (t) => {
  const sent = await sendOverdue(false);
  t.is(sent.length, 2);
});
