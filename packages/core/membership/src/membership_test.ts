import test from "ava";
import { Network } from "./simulated_network.ts";
import type { Node } from "./simulated_network.ts";

/** Returns true if the region's nodes list exactly its running nodes as live. */
function hasAgreement(network: Network, region: string): boolean {
  const expected = network.running(region).map((node) => node.id).sort().join();
  return network.running(region).every((node) =>
    node.machine.liveMembers(region).map((member) => member.processId).sort()
      .join() === expected
  );
}

/** Returns the longest time in milliseconds for which the nodes disagree. */
function measureDisagreement(network: Network, region: string, ms: number) {
  let sinceMs = network.nowMs;
  let longestMs = 0;
  network.runFor(ms, () => {
    if (hasAgreement(network, region)) sinceMs = network.nowMs;
    longestMs = Math.max(longestMs, network.nowMs - sinceMs);
    return false;
  });
  return longestMs;
}

/** Returns the milliseconds until the condition holds; checks every 100 ms. */
function measureUntil(
  network: Network,
  limitMs: number,
  condition: () => boolean,
): number {
  const startMs = network.nowMs;
  let met = false;
  network.runFor(limitMs, () => met = condition());
  return met ? network.nowMs - startMs : Infinity;
}

for (const seed of [1, 2, 3]) {
  test(`guards against slow detection and lasting false deaths, seed ${seed}`, (t) => {
    const network = new Network({ seed, regions: 3, size: 8, loss: 0.1 });
    t.true(
      measureUntil(network, 20_000, () => hasAgreement(network, "r1")) < 20_000,
    );
    network.runFor(60_000);
    const victim = network.get("r1n3");
    victim.state = "stopped";
    t.true(
      measureUntil(network, 12_000, () => hasAgreement(network, "r1")) <=
        10_000,
    );

    // Half of its region receives no message of one node; the indirect probes
    // must compensate for that.
    const mute = network.get("r1n5");
    network.blocked = (from, to) =>
      from === mute && Number(to.id.at(-1)) % 2 === 0;
    network.deaths.length = 0;
    t.true(measureDisagreement(network, "r1", 60_000) <= 10_000);
    t.true(network.deaths.length <= 2, `${network.deaths.length} deaths`);
    network.blocked = () => false;

    const frozen = network.get("r1n2");
    frozen.state = "frozen";
    t.true(
      measureUntil(network, 12_000, () => hasAgreement(network, "r1")) <=
        10_000,
    );
    network.runFor(90_000);
    const wokenAtMs = network.nowMs;
    network.wake(frozen);
    t.true(
      measureUntil(network, 15_000, () => hasAgreement(network, "r1")) <=
        10_000,
    );
    const declared = network.deaths.filter((death) =>
      death.by === frozen.id && death.atMs >= wokenAtMs
    );
    t.deepEqual(
      declared,
      [],
      "a resumed process reports no death after its freeze",
    );

    t.true(measureDisagreement(network, "r1", 120_000) <= 10_000);
  });
}

test("guards against callers sent to an entry that leaves", (t) => {
  const network = new Network({ seed: 4, regions: 2, size: 8 });
  network.runFor(20_000);
  t.true(network.running().every((n) => n.machine.countEntries() === 16));
  const leaving = network.get("r1n4");
  network.apply(leaving, { type: "leave" });
  const isListed = (node: Node) =>
    node.machine.liveMembers("r1").some((m) => m.processId === leaving.id);
  t.true(
    measureUntil(network, 5_000, () => !network.running("r1").some(isListed)) <=
      2_000,
  );
  t.true(
    measureUntil(
      network,
      10_000,
      () => !network.running("r0").some(isListed),
    ) <= 6_000,
  );
  const states = network.running("r1").map((node) =>
    node.machine.members().find((m) => m.processId === leaving.id)?.state
  );
  t.true(states.every((state) => state === "leaving"));
});

test("guards against a region that stays lost after a partition of an hour", (t) => {
  const network = new Network({ seed: 5, regions: 3, size: 4 });
  network.runFor(10_000);
  const hasLive = (node: Node, region: string) =>
    node.machine.liveMembers(region).length > 0;
  t.true(
    network.running().every((n) =>
      ["r0", "r1", "r2"].every((r) => hasLive(n, r))
    ),
  );
  network.blocked = (from, to) =>
    (from.region === "r2") !== (to.region === "r2");
  network.runFor(3_600_000);
  t.false(network.running().some((n) => n.region !== "r2" && hasLive(n, "r2")));
  t.true(hasAgreement(network, "r2") && hasAgreement(network, "r0"));
  network.blocked = () => false;
  t.true(
    measureUntil(
      network,
      30_000,
      () =>
        network.running().every((n) =>
          ["r0", "r1", "r2"].every((r) => hasLive(n, r))
        ),
    ) <= 15_000,
  );
});

test("guards against a zone that stays partitioned from its region", (t) => {
  const network = new Network({
    seed: 6,
    regions: 1,
    size: 8,
    seeds: ["r0n0"],
  });
  network.runFor(20_000);
  // Without the seed, only addresses of members believed dead are left.
  network.get("r0n0").state = "stopped";
  network.blocked = (from, to) => (from.id < "r0n4") !== (to.id < "r0n4");
  network.runFor(600_000);
  t.is(network.get("r0n6").machine.liveMembers("r0").length, 4);
  network.blocked = () => false;
  t.true(
    measureUntil(network, 60_000, () => hasAgreement(network, "r0")) <= 30_000,
  );
});

test("guards against a dead member revived by stale gossip", (t) => {
  const network = new Network({ seed: 7, regions: 1, size: 6 });
  network.runFor(20_000);
  // The frozen node still lists the dead one as alive when it resumes.
  const stale = network.get("r0n1");
  const dead = network.get("r0n5");
  stale.state = "frozen";
  dead.state = "stopped";
  network.runFor(120_000);
  const others = network.running();
  t.false(
    others.some((n) => n.machine.members().some((m) => m.processId === "r0n5")),
  );
  let revived = 0;
  const joined = network.add("r0n7");
  network.wake(stale, "dropped");
  network.runFor(60_000, () => {
    revived += others.filter((n) =>
      n.machine.members().some((m) =>
        m.processId === "r0n5" && m.state !== "dead"
      )
    ).length;
    return false;
  });
  t.is(revived, 0);
  t.is(joined.machine.liveMembers("r0").length, 6);
  t.is(stale.machine.liveMembers("r0").length, 6);
});

// A process that was frozen must not count that time in its suspicion of others.
test("guards against declaring a member dead after a freeze", (t) => {
  const network = new Network({ seed: 11, regions: 1, size: 3 });
  network.runFor(10_000);
  const frozen = network.get("r0n0");
  const mute = network.get("r0n1");
  network.blocked = (from) => from === mute;
  measureUntil(
    network,
    20_000,
    () => frozen.machine.members().some((m) => m.state === "suspect"),
  );
  frozen.state = "frozen";
  network.blocked = () => false;
  network.runFor(30_000);
  network.wake(frozen, "dropped");
  network.deaths.length = 0;
  t.true(
    measureUntil(network, 10_000, () => hasAgreement(network, "r0")) <= 10_000,
  );
  t.deepEqual(network.deaths, []);
});

test("guards against a replaced process that is still listed at its address", (t) => {
  const network = new Network({ seed: 8, regions: 1, size: 4 });
  network.runFor(10_000);
  network.add("r0n9", "r0n3");
  t.true(
    measureUntil(network, 20_000, () => hasAgreement(network, "r0")) <= 3_000,
  );
});

test("guards against old states that replace newer ones or count as fresh", (t) => {
  const network = new Network({ seed: 9, regions: 2, size: 20, loss: 0.1 });
  network.runFor(30_000);
  const publish = (id: string, fence: number, sequence: number) =>
    network.apply(network.get(id), {
      type: "set_state",
      key: "groups/a/r0",
      value: { owner: id },
      version: [fence, sequence],
      scope: "global",
      ttlMs: 30_000,
    });
  for (let sequence = 1; sequence <= 20; sequence += 1) {
    publish("r0n0", 1, sequence);
    network.runFor(1_000);
  }
  const view = (node: Node) => node.machine.state("groups/a/r0");
  t.true(network.running().every((node) => view(node)?.fresh));
  publish("r0n1", 2, 1);
  const takenMs = measureUntil(network, 10_000, () => {
    publish("r0n0", 1, 1_000);
    return network.running().every((node) => view(node)?.version[0] === 2);
  });
  t.true(takenMs <= 5_000, `owner known everywhere after ${takenMs} ms`);
  network.runFor(8_000);
  t.false(network.running().some((node) => view(node)?.fresh));
  network.runFor(30_000);
  t.false(network.running().some((node) => view(node)));
});

test("guards against messages or traffic that grow with the number of nodes", (t) => {
  const perNode = [20, 60, 120].map((size) => {
    const network = new Network({ seed: 10, regions: 1, size });
    network.runFor(60_000);
    network.recording = true;
    network.runFor(20_000);
    for (const { message } of network.messages) {
      t.true(message.updates.items.length <= 8);
      t.true(message.type !== "summary" || message.summary.entries.length <= 4);
    }
    return network.messages.length / size / 20;
  });
  t.true(perNode[2]! <= 1.2 * perNode[0]!, perNode.join(" "));
});
