import test from "ava";
import { buildRoute, callEdge } from "../edge_fixture.ts";
import { startFront } from "./front_fixture.ts";
import { createHeldForwarder } from "./held_forwarder_fixture.ts";

const GRACE_MS = 10_000;
/** Longest times of a request that end before and after the grace period. */
const SHORT_MS = 5_000;
const LONG_MS = 10_000;

/** Starts a front with a route of a timeout, and takes it into its shutdown. */
async function startLeavingFront(
  t: Parameters<typeof startFront>[0],
  timeoutMs: number,
) {
  const forwarder = createHeldForwarder();
  const route = buildRoute({ timeoutMs });
  const started = await startFront(t, forwarder, { route });
  started.front.startLeaving(GRACE_MS);
  return { ...started, forwarder };
}

// Nothing is left to answer it when the process exits.
test("guards against taking a request during the shutdown that may last longer than the process", async (t) => {
  const { address, forwarder } = await startLeavingFront(t, LONG_MS);
  const headers = { "dotterelmoor-deadline-ms": String(LONG_MS) };
  const call = callEdge(address, { headers });
  const taken = forwarder.waitFor(1).then(() => "taken");
  const answer = await Promise.race([call, taken]);
  t.like(answer, { status: 503, body: "leaving\n" });
  t.deepEqual([...forwarder.ends.keys()], []);
});

// Either time may be the shorter one.
for (
  const [name, times] of Object.entries({
    "its caller": { timeoutMs: LONG_MS, waitMs: SHORT_MS },
    "its route": { timeoutMs: SHORT_MS, waitMs: LONG_MS },
  })
) {
  test(`guards against refusing a request early in the shutdown that ${name} ends in time`, async (t) => {
    const { address, forwarder } = await startLeavingFront(t, times.timeoutMs);
    const headers = { "dotterelmoor-deadline-ms": String(times.waitMs) };
    const call = callEdge(address, { headers });
    await Promise.race([call, forwarder.waitFor(1)]);
    forwarder.ends.get("q1")?.("answer to q1");
    t.like(await call, { status: 200, body: "answer to q1" });
  });
}
