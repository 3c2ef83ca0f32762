import process from "node:process";
import test from "ava";
import { claimPorts } from "../../../network/peering/src/claimed_ports_fixture.ts";
import { runSoak } from "./soak.ts";

/** Ports of one entry; all entries use the same, each on its own address. */
const ENTRY_PORTS = 4;

/** Checks that hold however late a busy machine lets the processes run. */
const REQUEST_CHECKS: ReadonlySet<string> = new Set([
  "answers are whole and one's own",
  "refused requests do not run",
  "runs at most once",
]);

// Both seeds failed when a copy of a refusal, or a server's status without its
// word that it ran nothing, counted as a refusal.
for (const seed of [202, 203]) {
  test.serial(`guards against refused requests that run, second runs and answers that are not whole under random faults, seed ${seed}`, async (t) => {
    const { requests, served, faults, violations } = await runSoak({
      seed,
      durationMs: 20_000,
      entries: 6,
      servers: 8,
      // Concurrent runs of this file should use different addresses.
      network: `127.${130 + process.pid % 100}`,
      firstPort: await claimPorts(ENTRY_PORTS),
    });
    t.log({ requests, served, faults });
    const broken = violations.filter(({ promise }) =>
      REQUEST_CHECKS.has(promise)
    );
    const others = violations.filter((violation) =>
      !broken.includes(violation)
    );
    if (others.length > 0) t.log("Other checks that failed:", others);
    t.deepEqual(broken, []);
    t.true(served > 0);
  });
}
