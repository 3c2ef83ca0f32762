import type { ExecutionContext } from "ava";
import test from "ava";
import { createBackendClient } from "@dotterelmoor/network.backend";
import type { Outcome } from "@dotterelmoor/core.types";
import {
  buildAnswer,
  buildRefusal,
  startOwner,
  startRawServer,
} from "./group_owner_fixture.ts";

/** Time in milliseconds by which the pause after a refusal has ended. */
const PAUSE_OVER_MS = 60;

const FINGERPRINT = "copies";

/** Queues copies of a request that was answered before. Their server is free
 * to run them, but the timer that sends them is late. */
async function queueCopies(t: ExecutionContext, ids: readonly string[]) {
  const runs: string[] = [];
  const address = await startRawServer(t, ({ requestId, socket }) => {
    const isRefused = requestId === "refused";
    if (!isRefused) runs.push(requestId);
    socket.write((isRefused ? buildRefusal : buildAnswer)(requestId));
  });
  let nowMs = 0;
  const clock = { nowMs: () => nowMs, wallMs: () => nowMs };
  const { execute, quarantine } = startOwner(t, { servers: [address], clock });
  await execute("known", FINGERPRINT);
  // The refusal pauses the server, and leaves an idle connection.
  t.like(await execute("refused"), { type: "not-run" });
  const copies = ids.map((id) => execute(id, FINGERPRINT));
  nowMs = PAUSE_OVER_MS;
  return { quarantine, copies, address, runs };
}

/** Waits until a server has read everything that was written to it before. */
async function waitForReads(t: ExecutionContext, address: string) {
  const client = createBackendClient();
  t.teardown(() => client.close());
  const request = { address, method: "GET", path: "/", headers: {} };
  await client.send({ ...request, deadlineMs: 2_000, requestId: "last" });
}

function checkQuarantined(t: ExecutionContext, outcomes: readonly Outcome[]) {
  for (const outcome of outcomes) {
    t.like(outcome, { type: "not-run", reason: "quarantined" });
  }
}

// The conviction arrives before the late timer.
test("guards against a request that is refused as quarantined and runs", async (t) => {
  const { quarantine, copies, address, runs } = await queueCopies(t, ["r1"]);
  quarantine.send({
    type: "convicted",
    fingerprint: FINGERPRINT,
    remainingMs: 1_000,
  });
  checkQuarantined(t, await Promise.all(copies));
  await waitForReads(t, address);
  t.deepEqual(runs, ["known", "last"]);
});

// The recall of the first copy frees the server for the second one, which is
// recalled in the same turn of the event loop.
test("guards against a copy that is sent, refused as quarantined and runs", async (t) => {
  const ids = ["r1", "r2"];
  const { quarantine, copies, address, runs } = await queueCopies(t, ids);
  quarantine.send({
    type: "convicted",
    fingerprint: FINGERPRINT,
    remainingMs: 1_000,
  });
  checkQuarantined(t, await Promise.all(copies));
  await waitForReads(t, address);
  t.deepEqual(runs, ["known", "last"]);
});
