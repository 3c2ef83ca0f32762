/**
 * A zone loses power in which the four oldest of a region's six entries stand,
 * and a server of another zone begins to leave at the same moment. With
 * TROUBLE=0 the server leaves, and the zone keeps its power.
 *
 * @module
 */

import { Agent } from "node:http";
import { join } from "node:path";
import process from "node:process";
import {
  buildConfiguration,
  findPorts,
  Record,
  runCase,
  send,
  startEntry,
  startServer,
  wait,
} from "../lib/harness.mjs";
import { startStore } from "../lib/store.mjs";

const CALLERS = 12;
const DRAIN_MS = 2_500;
/** Time from the acknowledgement to the end of the leaving server. */
const END_MS = Number(process.env.END_MS ?? 4_000);
/** Time from the loss of the zone to the removal of the leaving server's row, or
 * with LEAVE=drain to its report of `draining`. */
const DRAIN_AT_MS = Number(process.env.DRAIN_AT_MS ?? 100);
/** Zones of the entries, the oldest first. */
const ENTRY_ZONES = ["z-1", "z-1", "z-1", "z-1", "z-2", "z-2", "z-3", "z-3"];
const ZONES = { "z-1": "r-1", "z-2": "r-1", "z-3": "r-2" };

const record = new Record(join(import.meta.dirname, "record.txt"));

await runCase(async ({ directory, started, hasTrouble }) => {
  const store = await startStore();
  store.put("op", "config", buildConfiguration());
  const servers = [];
  for (const id of ["i-1", "i-2", "i-3", "i-4"]) {
    const options = { id, zone: "z-2", workMs: 300, slots: 6 };
    servers.push(await startServer(store, record, options));
  }
  const ports = await findPorts("127.0.0.1", 6);
  const entries = [];
  for (const [index, zone] of ENTRY_ZONES.entries()) {
    entries.push(
      await startEntry(record, {
        name: `front-${zone}-${index + 1}`,
        ip: `127.0.3.${index + 1}`,
        zone,
        zones: ZONES,
        store,
        directory,
        ports,
        seeds: ["127.0.3.1", "127.0.3.5", "127.0.3.7"],
        onStart: (starting) => started.push(starting),
      }),
    );
  }
  const lost = entries.filter((_, index) => ENTRY_ZONES[index] === "z-1");
  const left = entries.filter((_, index) => ENTRY_ZONES[index] === "z-2");

  let isEnding = false;
  let served = 0;
  let failed = 0;
  const callers = Array.from({ length: CALLERS }, async (_, index) => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const entry = left[index % left.length];
    while (!isEnding) {
      const options = { path: "/unsafe/a", method: "POST", agent };
      const { status } = await send(record, entry, options);
      if (status === 200) served += 1;
      if (status === 0 || status === 502) failed += 1;
      await wait(20);
    }
    agent.destroy();
  });
  // All machines are in touch 4 s after their start.
  await wait(6_000);

  if (hasTrouble) {
    // A machine without power doesn't answer; connections to it hang.
    for (const { child } of lost) child.kill("SIGSTOP");
    record.note("power lost", { entries: lost.map(({ name }) => name) });
  }
  await wait(DRAIN_AT_MS);
  const [leaving] = servers;
  if (process.env.LEAVE === "drain") leaving.drain();
  else leaving.withdraw();
  const ackedAtMs = performance.now();
  await wait(END_MS);
  leaving.close();
  record.note("server ended", { server: leaving.id });
  await wait(4_000);
  isEnding = true;
  await Promise.all(callers);

  const arrivals = leaving.runs.map(({ atMs }) => Math.round(atMs - ackedAtMs))
    .filter((afterMs) => afterMs > 0);
  const late = arrivals.filter((afterMs) => afterMs > DRAIN_MS);
  const result = {
    served,
    failed,
    late: late.length,
    last: arrivals.at(-1) ?? 0,
  };
  record.note("result", result);
  process.stdout.write(`${JSON.stringify(result)}\n`);
  for (const server of servers) server.close();
  store.close();
  if (served === 0) throw new Error("No request was served");
  return late.length > 0;
});
