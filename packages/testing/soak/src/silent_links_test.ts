import { request as openRequest } from "node:http";
import process from "node:process";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import test from "ava";
import type { ExecutionContext } from "ava";
import { encodeRequestHeaders } from "@dotterelmoor/platform";
import { claimPorts } from "../../../network/peering/src/claimed_ports_fixture.ts";
import { buildDocument, HOST } from "./documents.ts";
import { startInstallation } from "./installation.ts";
import type { SoakEntry } from "./installation.ts";
import type { RunRecord } from "./records.ts";

/**
 * Time after which the limit on changes applies again to entries whose
 * connections went silent: a limit that the platform states.
 */
const RECONNECT_MS = 4_000;

/** Time within which a change is in force: a limit that the platform states. */
const IN_FORCE_MS = 2_500;

/** Time that a caller waits for a response. */
const RESPONSE_TIMEOUT_MS = 1_500;

const CALLS = 24;

/** Ports of one entry; all entries use the same, each on its own address. */
const ENTRY_PORTS = 4;

const wait = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

let requests = 0;

/**
 * Sends a request over a new connection and returns the response's status, or 0
 * if there was none.
 */
function call(entry: SoakEntry, path: string): Promise<number> {
  requests += 1;
  const requestId = `q${requests}`;
  const headers = {
    host: HOST,
    ...encodeRequestHeaders({
      requestId,
      waitMs: RESPONSE_TIMEOUT_MS,
      object: requestId,
    }),
  };
  return new Promise((resolve) => {
    const request = openRequest(`http://${entry.callers}${path}`, {
      agent: false,
      headers,
      timeout: RESPONSE_TIMEOUT_MS,
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
    // Concurrent runs of this file should use different addresses.
    network: `127.${network + process.pid % 100}`,
    firstPort: await claimPorts(ENTRY_PORTS),
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

// The open connections between entries and to the store stop carrying data
// without an end or an error. New connections work.
for (
  const [network, afterMs] of [[20, 500], [21, 2_500], [22, 4_500]] as const
) {
  test.serial(`guards against changes that are missed behind connections gone silent, ${afterMs} ms before`, async (t) => {
    const { installation, entries, runs } = await startServing(t, network);
    // Lets the connections be in use for a while before they go silent.
    await wait(2_000);
    for (const { links, storeLink } of entries) {
      for (const link of [...links, storeLink]) link.silence();
    }
    await wait(afterMs);
    installation.putDocument(buildDocument(2));
    const [server] = installation.servers;
    installation.drain(server!);
    await wait(Math.max(0, RECONNECT_MS - afterMs) + IN_FORCE_MS);
    const { id } = server!.record;
    const inForceAtMs = performance.now();
    for (const entry of entries) {
      t.is(await call(entry, "/v2/"), 200, entry.name);
      for (let count = 0; count < CALLS; count++) {
        t.is(await call(entry, "/desk/r/"), 200, entry.name);
      }
    }
    const late = runs.filter(({ serverId, arrivedAtMs }) =>
      serverId === id && arrivedAtMs > inForceAtMs
    );
    t.deepEqual(late, []);
  });
}
