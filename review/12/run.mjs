/**
 * DRAIN: a report of a server that has left is written late, after the reader of
 * the region was killed.
 */

import { fileURLToPath } from "node:url";
import {
  BOUNDS,
  buildConfig,
  createRecord,
  createWorld,
  HAS_TROUBLE,
  HEARTBEAT_MS,
  makeId,
  sendRequest,
  Server,
  wait,
} from "../lib-3/world.mjs";

const REQUESTS_PER_S = 40;
const WAIT_MS = 1_500;
/** Time from a report without an answer until the server's row is removed: the
 * store is stable again by then. */
const UNTIL_LEAVING_MS = BOUNDS.stable_window_ms + 200;
/** Time from the removal until the reader is killed. */
const UNTIL_KILL_MS = 1_300;
/** Time from the report without an answer until the store performs it. */
const LATE_MS = 6_000;
/** The store drops a row after three reports were missed. */
const EXPIRY_MS = 3 * HEARTBEAT_MS;
/** Time for which the server that leaves goes on: "at times many seconds". */
const SERVES_MS = 5_500;

const record = createRecord(fileURLToPath(new URL(".", import.meta.url)));
const world = await createWorld({
  record,
  zones: { "a-1": "a", "a-2": "a" },
  entries: [
    { name: "a1", zone: "a-1" },
    { name: "a2", zone: "a-1" },
    { name: "a3", zone: "a-2" },
    { name: "a4", zone: "a-2" },
  ],
  seeds: ["a1", "a2", "a3"],
});

world.store.put(
  "op",
  "config",
  buildConfig({
    version: 1,
    routes: [{
      name: "hold",
      prefix: "/hold/",
      kind: "unsafe",
      service: "desk",
      timeout_ms: WAIT_MS,
      target_latency_ms: 300,
    }],
    services: ["desk"],
  }),
);

const servers = ["a-1", "a-2", "a-2"].map((zone, index) =>
  new Server({
    id: `s${index + 1}`,
    zone,
    record,
    service: "desk",
    workMs: 100,
    store: world.store,
  })
);
const [leaving] = servers;

let exitCode = 2;
try {
  for (const server of servers) await server.start();
  for (const entry of world.entries) {
    world.start(entry);
    await wait(300);
  }
  for (const entry of world.entries) await world.waitUntilReady(entry);
  await wait(8_000);
  const results = new Map();
  const traffic = startTraffic(results);
  await wait(3_000);
  const removedAtMs = await leave();
  traffic.stop();
  await wait(2_000);
  exitCode = judge(removedAtMs, results);
} catch (error) {
  record.add(`could not run: ${error.stack}`);
} finally {
  for (const server of servers) if (server.isUp) server.crash();
  await world.close();
  record.save();
}
process.exit(exitCode);

/** The server leaves without reporting that it drains: its row is removed, and
 * it goes on for a while. Returns the time of the removal. */
async function leave() {
  const { store } = world;
  // The store performs this report late; it gave no answer.
  const late = leaving.buildReport();
  record.add(`report ${late.sequence} of ${leaving.id} gets no answer`);
  const lateAtMs = performance.now() + LATE_MS;
  await wait(UNTIL_LEAVING_MS);
  leaving.stopReports();
  store.drop("servers", leaving.id);
  const removedAtMs = performance.now();
  record.add(`the row of ${leaving.id} is removed: it leaves`);
  await wait(UNTIL_KILL_MS);
  if (HAS_TROUBLE) {
    world.kill(findReader(), "SIGKILL");
    await wait(lateAtMs - performance.now());
    store.put("servers", leaving.id, late);
    record.add(`report ${late.sequence} of ${leaving.id} is performed`);
  }
  await wait(removedAtMs + SERVES_MS - performance.now());
  leaving.crash();
  await wait(Math.max(0, lateAtMs + EXPIRY_MS - performance.now()));
  store.drop("servers", leaving.id);
  record.add(`the row of ${leaving.id} has expired`);
  return removedAtMs;
}

/** Finds the entry that reads the store for the region, by its log. */
function findReader() {
  const readers = world.entries.filter(({ log }) =>
    log.join("").includes("Reading the store for the region.")
  );
  return readers[0];
}

function startTraffic(results) {
  let sent = 0;
  const timer = setInterval(() => {
    const usable = world.entries.filter(({ child }) =>
      child.exitCode === null && child.signalCode === null
    );
    const entry = usable[Math.floor(Math.random() * usable.length)];
    const id = makeId();
    sent += 1;
    const sentAtMs = performance.now();
    record.add(`client sends ${id} to ${entry.name}`);
    sendRequest(world.frontOf(entry), {
      id,
      method: "POST",
      path: `/hold/${sent % 25}`,
      object: String(sent % 25),
      body: "hold",
      waitMs: WAIT_MS,
    }).then(({ status, reason }) => {
      results.set(id, { status, sentAtMs });
      record.add(`client gets ${status} for ${id} ${reason ?? ""}`);
    });
  }, 1_000 / REQUESTS_PER_S);
  return { stop: () => clearInterval(timer) };
}

function judge(removedAtMs, results) {
  const dueAtMs = removedAtMs + BOUNDS.drain_ms;
  const late = leaving.arrivals.filter(({ atMs }) => atMs > dueAtMs);
  const statuses = {};
  for (const { id } of late) {
    const { status } = results.get(id) ?? {};
    statuses[status] = (statuses[status] ?? 0) + 1;
  }
  const [first] = late;
  record.add(
    `result: ${late.length} requests reached ${leaving.id} later than ` +
      `${BOUNDS.drain_ms} ms after its removal` +
      (first === undefined ? "" : `, from ${record.stamp(first.atMs)} on`),
  );
  record.add(`result: their answers ${JSON.stringify(statuses)}`);
  record.add(`result: DRAIN ${late.length > 0 ? "broken" : "held"}`);
  return late.length > 0 ? 1 : 0;
}
