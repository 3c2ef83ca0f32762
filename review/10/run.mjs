// The platform restarts two entries three times, and tells each right after its
// start that its settings file has changed.
import {
  BROKEN,
  HAS_TROUBLE,
  HELD,
  NOT_RUN,
  openRecord,
  runCase,
  startEntry,
  Store,
  wait,
  waitUntilReady,
  writeSettings,
} from "../lib-2/standins.mjs";

const ROUNDS = 3;
/** Time between a start and its SIGHUP; without the disruption, the entry has
 * started by then. */
const HUP_AFTER_MS = HAS_TROUBLE ? 60 : 2_500;
const RESTART_MS = 500;
const GRACE_MS = 6_500;
/** Ends by themselves on this many machines break the rule. */
const MACHINES = 2;

const CONFIGURATION = {
  routes: [],
  services: [],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 67_108_864,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
};

await runCase(async (dispose) => {
  const record = openRecord(import.meta.url);
  const store = new Store();
  await store.start();
  dispose(() => store.stop());
  store.putConfiguration(3, CONFIGURATION);
  const zones = { "se-a": "southeast", "se-b": "southeast" };
  const machines = [];
  for (const [index, zone] of ["se-a", "se-b"].entries()) {
    const ip = `127.0.6.${101 + index}`;
    const name = `front-${zone}-1`;
    machines.push(await writeSettings({ name, ip, zone, zones, store }));
  }
  const runs = await Promise.all(
    machines.map((settings) => runMachine(settings, { record, dispose })),
  );
  if (runs.some((ends) => ends === undefined)) return NOT_RUN;
  const broken = runs.filter((ends) => ends >= ROUNDS).length;
  record(`ends by themselves, by machine: ${runs.join(" ")}`);
  record(broken >= MACHINES ? "Fault: the rule is broken" : "The rule held");
  return broken >= MACHINES ? BROKEN : HELD;
});

/** Restarts the entry of a machine; returns how often it ended by itself, or
 * undefined if it did not become ready. */
async function runMachine(settings, { record, dispose }) {
  let running = startEntry(settings);
  dispose(async () => {
    running.entry.kill("SIGKILL");
    await running.ended;
  });
  if (!await waitUntilReady(settings)) return undefined;
  let ends = 0;
  for (let round = 0; round < ROUNDS; round++) {
    running.entry.kill("SIGTERM");
    const killer = setTimeout(() => running.entry.kill("SIGKILL"), GRACE_MS);
    await running.ended;
    clearTimeout(killer);
    await wait(RESTART_MS);
    running = startEntry(settings);
    await wait(HUP_AFTER_MS);
    running.entry.kill("SIGHUP");
    const end = await Promise.race([running.ended, wait(1_000)]);
    if (end !== undefined) {
      ends += 1;
      record(`${settings.ip}: ended after SIGHUP, ${JSON.stringify(end)}`);
      running = startEntry(settings);
    }
    if (!await waitUntilReady(settings)) return undefined;
    record(`${settings.ip}: ready`);
  }
  return ends;
}
