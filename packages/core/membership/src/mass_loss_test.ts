import test from "ava";
import { Network } from "./simulated_network.ts";

/** Number of entries in the largest region of a grown installation. */
const REGION_SIZE = 48;

/** Time after which callers must not be sent to a stopped entry any more. */
const LIMIT_MS = 7_000;

/** The timings that the edge sets. */
const TIMINGS = {
  probeIntervalMs: 600,
  probeTimeoutMs: 250,
  suspicionMs: 1_200,
  gossipIntervalMs: 600,
  contactFreshMs: 4_000,
};

/**
 * Stops a share of all entries at once and returns the time in milliseconds
 * until no entry lists a stopped one as alive.
 */
function measureDetection(seed: number, share: number): number {
  const network = new Network({
    seed,
    regions: 3,
    size: REGION_SIZE,
    timings: TIMINGS,
  });
  network.runFor(20_000);
  const ended = new Set<string>();
  for (const node of network.running()) {
    if (network.random() >= share) continue;
    node.state = "stopped";
    ended.add(node.id);
  }
  const startMs = network.nowMs;
  let lastMs = startMs;
  network.runFor(15_000, () => {
    const isListed = network.running().some(({ machine }) =>
      machine.liveMembers().some(({ state, processId }) =>
        state === "alive" && ended.has(processId)
      )
    );
    if (isListed) lastMs = network.nowMs;
    return false;
  });
  return lastMs - startMs;
}

for (const share of [0.35, 0.5, 0.65]) {
  for (const seed of [1, 2, 3]) {
    // Few entries are left to probe, and each has more failures to detect.
    test(`guards against listing stopped entries long after a mass loss, share ${share}, seed ${seed}`, (t) => {
      const detectionMs = measureDetection(seed, share);
      t.log(`${detectionMs} ms`);
      t.true(detectionMs <= LIMIT_MS, `${detectionMs} ms`);
    });
  }
}
