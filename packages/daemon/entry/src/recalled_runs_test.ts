import type { ExecutionContext } from "ava";
import test from "ava";
import { createBackendClient } from "@dotterelmoor/network.backend";
import type { Outcome } from "@dotterelmoor/core.types";
import {
  buildAnswer,
  buildRefusal,
  listServers,
  startOwner,
  startRawServer,
} from "./group_owner_fixture.ts";

/** Time in milliseconds by which the pause after a refusal has ended. */
const PAUSE_OVER_MS = 60;

/** Time in milliseconds by which a cancelled request has freed its slot. */
const GRACE_OVER_MS = 600;

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
  const started = startOwner(t, { servers: [address], clock });
  const { execute, owner } = started;
  await execute("known", FINGERPRINT);
  // The refusal pauses the server, and leaves an idle connection.
  t.like(await execute("refused"), { type: "not-run" });
  const copies = ids.map((id) => execute(id, FINGERPRINT));
  nowMs = PAUSE_OVER_MS;
  const advance = (byMs: number) => {
    nowMs += byMs;
    owner.tick();
  };
  return { ...started, copies, address, runs, advance };
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

// As above, but the copies may still run, each alone on its server.
test("guards against a copy that is lost when it becomes a suspect", async (t) => {
  const ids = ["r1", "r2"];
  const { quarantine, copies, runs, advance } = await queueCopies(t, ids);
  quarantine.send({ type: "suspected", fingerprint: FINGERPRINT });
  advance(GRACE_OVER_MS);
  for (const outcome of await Promise.all(copies)) {
    t.is(outcome.type, "answered");
  }
  t.deepEqual(runs.toSorted(), ["known", ...ids]);
});

// The request becomes a suspect at its server, which then refuses it.
test("guards against a refused request that is lost, or runs twice, when it becomes a suspect", async (t) => {
  const runs: string[] = [];
  const startRunning = () =>
    startRawServer(t, ({ requestId, socket }) => {
      runs.push(requestId);
      socket.write(buildAnswer(requestId));
    });
  const others = await Promise.all([startRunning(), startRunning()]);
  const refusing = await startRawServer(t, ({ requestId, socket }) => {
    listServers(owner, [refusing, ...others]);
    quarantine.send({ type: "suspected", fingerprint: FINGERPRINT });
    socket.write(buildRefusal(requestId));
  });
  const { owner, execute, quarantine } = startOwner(t, { servers: [refusing] });
  const outcome = await execute("r1", FINGERPRINT);
  t.like(outcome, { type: "answered", status: 200 });
  await Promise.all(others.map((address) => waitForReads(t, address)));
  t.deepEqual(runs, ["r1", "last", "last"]);
});
