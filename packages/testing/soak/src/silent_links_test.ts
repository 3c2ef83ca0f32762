import { request as openRequest } from "node:http";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import process from "node:process";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import test from "ava";
import type { ExecutionContext } from "ava";
import { encodeRequestHeaders } from "@dotterelmoor/platform";
import { buildDocument, HOST } from "./documents.ts";
import { startInstallation } from "./installation.ts";
import type { SoakEntry } from "./installation.ts";
import type { RunRecord } from "./records.ts";

/** Time in milliseconds after which entries whose connections went silent are
 * bound again, and the one that a change may take then: the platform's bounds. */
const TOUCH_MS = 4_000;
const IN_FORCE_MS = 2_500;

/** Time in milliseconds that a caller waits. */
const WAIT_MS = 1_500;

const CALLS = 24;

const wait = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

async function findPort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

let requests = 0;

/** Sends one request on a connection of its own; 0 for no answer. */
function call(entry: SoakEntry, path: string): Promise<number> {
  requests += 1;
  const requestId = `q${requests}`;
  const headers = {
    host: HOST,
    ...encodeRequestHeaders({ requestId, waitMs: WAIT_MS, object: requestId }),
  };
  return new Promise((resolve) => {
    const request = openRequest(`http://${entry.callers}${path}`, {
      agent: false,
      headers,
      timeout: WAIT_MS,
    }, (response) => {
      response.resume();
      response.on("end", () => resolve(response.statusCode ?? 0));
    });
    request.on("timeout", () => request.destroy());
    request.on("error", () => resolve(0));
    request.end();
  });
}

async function startServing(t: ExecutionContext, network: number) {
  const generator = xoroshiro128plus(network);
  const runs: RunRecord[] = [];
  const installation = await startInstallation({
    // Other runs of this file have other numbers.
    network: `127.${network + process.pid % 100}`,
    firstPort: await findPort(),
    entries: 4,
    servers: 6,
    random: () => (generator.next() >>> 0) / 2 ** 32,
    onRun: (run) => runs.push(run),
    onCrash: () => {},
  });
  t.teardown(() => installation.close());
  installation.putDocument(buildDocument(1));
  const { entries } = installation;
  for (const entry of entries) {
    while (await call(entry, "/v1/") !== 200) await wait(50);
  }
  return { installation, entries, runs };
}

// Nothing passes on the open connections any more, between entries and to the
// store, and no end or error shows it. New ones work.
for (
  const [network, afterMs] of [[20, 500], [21, 2_500], [22, 4_500]] as const
) {
  test.serial(`guards against changes that are missed behind connections gone silent, ${afterMs} ms before`, async (t) => {
    const { installation, entries, runs } = await startServing(t, network);
    // Later than the start, so that links have been in use for a while.
    await wait(2_000);
    for (const { links, storeLink } of entries) {
      for (const link of [...links, storeLink]) link.silence();
    }
    await wait(afterMs);
    installation.putDocument(buildDocument(2));
    const [server] = installation.servers;
    installation.drain(server!);
    await wait(Math.max(0, TOUCH_MS - afterMs) + IN_FORCE_MS);
    const { id } = server!.record;
    const knownAtMs = performance.now();
    for (const entry of entries) {
      t.is(await call(entry, "/v2/"), 200, entry.name);
      for (let count = 0; count < CALLS; count++) {
        t.is(await call(entry, "/desk/r/"), 200, entry.name);
      }
    }
    const late = runs.filter(({ serverId, arrivedAtMs }) =>
      serverId === id && arrivedAtMs > knownAtMs
    );
    t.deepEqual(late, []);
  });
}
