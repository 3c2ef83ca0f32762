import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import test from "ava";
import { createBackendClient } from "./mod.ts";
import type { BackendResult } from "./mod.ts";
import { SEND_HEADER, startRefusingServer } from "./refused_sends_fixture.ts";

const SENDERS = 12;
const SENDS = 250;

/** Few ids, so that each is sent again many times. */
const IDS = 30;

const METHODS = ["GET", "HEAD", "POST"];
const MAX_BODY_BYTES = 300_000;
const MAX_CONNECTIONS = 6;

/** True if a result says that no server runs the request. */
function isNotRun(result: BackendResult): boolean {
  return result.type === "refused" || result.type === "connection_refused" ||
    result.type === "not_authorized" ||
    (result.type === "cancelled" && !result.sent);
}

// Refusals are repeated before, within and behind other answers; some sends are
// cancelled or run out of time while their refusal arrives.
for (const seed of [1, 2, 3]) {
  test.serial(`guards against a send that ran and is reported as not run, seed ${seed}`, async (t) => {
    const generator = xoroshiro128plus(seed);
    const random = () => (generator.next() >>> 0) / 2 ** 32;
    const server = await startRefusingServer(t, random);
    const client = createBackendClient({
      maxConnectionsPerServer: MAX_CONNECTIONS,
    });
    t.teardown(() => client.close());
    const results = new Map<string, BackendResult>();
    const send = async (number: string) => {
      const method = METHODS[Math.floor(random() * METHODS.length)]!;
      const hasBody = method === "POST" && random() < 0.5;
      const cancel = new AbortController();
      const cancelMs = random() < 0.2 ? random() * 8 : undefined;
      if (cancelMs !== undefined) setTimeout(() => cancel.abort(), cancelMs);
      const result = await client.send({
        address: server.address,
        method,
        path: "/",
        headers: { [SEND_HEADER]: number },
        body: new Uint8Array(hasBody ? random() * MAX_BODY_BYTES : 0),
        deadlineMs: random() < 0.1 ? 1 + random() * 10 : 2_000,
        requestId: `r${Math.floor(random() * IDS)}`,
        signal: cancel.signal,
      });
      results.set(number, result);
    };
    await Promise.all(Array.from({ length: SENDERS }, async (_, sender) => {
      for (let index = 0; index < SENDS; index++) {
        await send(`${sender}-${index}`);
      }
    }));
    // A send that was given up may run later.
    await new Promise((resolve) => setTimeout(resolve, 100));
    const types: Record<string, number> = {};
    for (const { type } of results.values()) {
      types[type] = (types[type] ?? 0) + 1;
    }
    t.log({ ...server.counts, runs: server.runs.size, ...types });
    const untrue = [...results].filter(([number, result]) =>
      isNotRun(result) && server.runs.has(number)
    );
    t.deepEqual(untrue, []);
    t.true((types["refused"] ?? 0) > 100 && (types["answered"] ?? 0) > 100);
    t.true(server.counts.copies > 100);
  });
}
