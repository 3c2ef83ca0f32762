import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import type { ExecutionContext } from "ava";
import test from "ava";
import fc from "fast-check";
import type { ListedInstance } from "@dotterelmoor/core.types";
import { createPlatformClient } from "@dotterelmoor/network.platform";
import { startPlatform } from "./platform.ts";
import { TableStore } from "./store.ts";
import type { PlatformOptions } from "./types.ts";

const SEED = 20_241;

async function open(t: ExecutionContext, options: PlatformOptions = {}) {
  const platform = await startPlatform(options);
  const client = createPlatformClient({ url: platform.url, timeoutMs: 5_000 });
  t.teardown(async () => {
    client.close();
    await platform.close();
  });
  return { platform, client };
}

function makeInstance(id: string): ListedInstance {
  return {
    id,
    service: "holdkeeper",
    address: "127.0.0.1:1",
    region: "southeast",
    zone: "a",
    state: "live",
    slots: 3,
    connections: 650,
  };
}

// Random sequences of transactions over three keys; a version must not be
// assigned twice to the same key, even after the row was deleted.
test("guards against a transaction that is applied partially or on a stale version", (t) => {
  const key = fc.constantFrom("a", "b", "c");
  const step = fc.record({
    checks: fc.array(fc.record({ key, version: fc.nat(6) }), { maxLength: 2 }),
    writes: fc.array(
      fc.record({ key, value: fc.option(fc.nat(), { nil: null }) }),
      { maxLength: 3 },
    ),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 20 }), (steps) => {
      const store = new TableStore();
      const seenVersions = new Set<string>();
      for (const transaction of steps) {
        const before = ["a", "b", "c"].map((name) => store.read(name));
        const checksPass = transaction.checks.every((check) =>
          store.read(check.key).version === check.version
        );
        const result = store.transact(transaction);
        t.is(result.committed, checksPass);
        if (!result.committed) {
          t.deepEqual(["a", "b", "c"].map((name) => store.read(name)), before);
          continue;
        }
        for (const [name, version] of Object.entries(result.versions)) {
          t.false(version > 0 && seenVersions.has(`${name} ${version}`));
          seenVersions.add(`${name} ${version}`);
        }
      }
    }),
    { seed: SEED, numRuns: 200 },
  );
});

// A caller that gets no response must learn from the conflict of its second
// attempt that the first one was committed.
test("guards against a lost response that hides a committed write", async (t) => {
  const { platform, client } = await open(t);
  platform.setFaults({ loseAnswers: 1 });
  const write = {
    checks: [{ key: "claims/holdkeeper/k 1", version: 0 }],
    writes: [{ key: "claims/holdkeeper/k 1", value: { by: 7 } }],
  };
  t.deepEqual(await client.transact(write), { type: "unavailable" });
  t.is(platform.readCounters().transactions, 1, "the client does not retry");
  const retried = await client.transact(write);
  t.like(retried, {
    type: "conflict",
    rows: [{ key: "claims/holdkeeper/k 1", version: 1, value: { by: 7 } }],
  });
});

// 1,203 rows in pages of 100, beside a row outside the prefix.
test("guards against rows lost or repeated between pages", async (t) => {
  const rows = Object.fromEntries(
    Array.from({ length: 1_203 }, (_, i) => [`claims/s/${i}`, i]),
  );
  const { platform } = await open(t, { initialRows: { ...rows, other: 1 } });
  const client = createPlatformClient({
    url: platform.url,
    timeoutMs: 5_000,
    pageSize: 100,
  });
  t.teardown(() => client.close());
  const result = await client.list("claims/");
  if (result.type !== "rows") return t.fail("Row list is unavailable");
  t.is(new Set(result.rows.map((row) => row.key)).size, 1_203);
  t.is(result.rows.length, 1_203);
  t.deepEqual(await client.read("none"), {
    type: "rows",
    rows: [{ key: "none", version: 0, value: null }],
  });
});

// Callers branch on the result of a platform call and catch no errors.
test("guards against an outage that throws instead of returning unavailable", async (t) => {
  const { platform, client } = await open(t);
  platform.setFaults({ down: true });
  const calls = [
    client.transact({ checks: [], writes: [] }),
    client.read("a"),
    client.list("a"),
    client.fetchInstances(),
    client.getObject("a"),
    client.putObject("a", new Uint8Array(1)),
  ];
  for (const result of await Promise.all(calls)) {
    t.deepEqual(result as { type: string }, { type: "unavailable" });
  }
  platform.setFaults({ down: false });
  t.deepEqual(await client.getObject("a"), { type: "absent" });
  t.deepEqual(await client.putObject("a", Uint8Array.of(1, 2)), {
    type: "stored",
  });
  t.like(await client.getObject("a"), { type: "object" });
});

// With one concurrent call, the second one waits behind a call that gets no
// response.
test("guards against an unresponsive platform that blocks a call past its timeout", async (t) => {
  const unresponsive = createServer(() => {}).listen(0, "127.0.0.1");
  await once(unresponsive, "listening");
  const { port } = unresponsive.address() as AddressInfo;
  const client = createPlatformClient({
    url: `http://127.0.0.1:${port}`,
    timeoutMs: 50,
    maxConcurrent: 1,
  });
  t.teardown(() => {
    client.close();
    unresponsive.close();
  });
  const results = await Promise.all([client.read("a"), client.read("b")]);
  t.deepEqual(results, [{ type: "unavailable" }, { type: "unavailable" }]);
});

test("guards against an instance list that shows a change before its lag", async (t) => {
  const { platform, client } = await open(t, {
    instances: [makeInstance("one")],
  });
  const control = platform.controlUrl;
  const put = (path: string, method: string, body: unknown) =>
    fetch(`${control}${path}`, { method, body: JSON.stringify(body) });
  await put("/faults", "POST", { listLagMs: 3_600_000 });
  await put("/instances", "PUT", [makeInstance("two")]);
  t.like(await client.fetchInstances(), { instances: [{ id: "one" }] });
  await put("/faults", "POST", { listLagMs: 0 });
  t.like(await client.fetchInstances(), { instances: [{ id: "two" }] });
  t.is((await put("/faults", "POST", { slow: 1 })).status, 400);
});
