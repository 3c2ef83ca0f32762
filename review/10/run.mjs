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
  startStore,
  wait,
  waitUntilReady,
  writeSettings,
  ZONES,
} from "../lib-2/standins.mjs";

const ROUNDS = 3;
/** Time between a start and its SIGHUP; without the disruption, the entry has
 * started by then. */
const HUP_AFTER_MS = HAS_TROUBLE ? 60 : 2_500;
const RESTART_MS = 500;
const GRACE_MS = 6_500;
/** Ends by themselves on this many machines break the rule. */
const MACHINES = 2;

await runCase(async (dispose) => {
  const record = openRecord(import.meta.url);
  const store = await startStore(dispose, []);
  const machines = [];
  for (const [index, zone] of Object.keys(ZONES).entries()) {
    const ip = `127.0.6.${101 + index}`;
    machines.push(await writeSettings({ ip, zone, store }));
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
