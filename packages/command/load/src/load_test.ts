import { once } from "node:events";
import { createServer } from "node:http";
import type { RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import { performance } from "node:perf_hooks";
import type { ExecutionContext } from "ava";
import test from "ava";
import { assertLoopback } from "./addresses.ts";
import { createArrivals } from "./arrivals.ts";
import { parseMix } from "./mix.ts";
import { renderPlot } from "./plot.ts";
import { Recorder } from "./recorder.ts";
import { runLoad } from "./run.ts";
import { createSender } from "./sender.ts";
import { formatReport } from "./text_report.ts";

const SEED = 31_337;

const MIX = parseMix(`
requests:
  - { name: query, service: availdesk, share: 3, region: southeast }
  - { name: hold, service: holdkeeper, method: POST, path: /h, key: issued }
`);

const RUN = {
  mix: MIX,
  seed: SEED,
  ratePerSecond: 1_000,
  durationMs: 60_000,
  maxRequests: 200,
  maxInFlight: 1_000,
  intervalMs: 100,
};

async function openHttp(t: ExecutionContext, handler: RequestListener) {
  const server = createServer(handler).listen(0, "127.0.0.1");
  await once(server, "listening");
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

// Runs are comparable only if a seed reproduces the arrivals.
test("guards against arrivals that differ between runs or from the mix", (t) => {
  const options = { ...RUN, ...MIX, maxRequests: 20_000 };
  const arrivals = [...createArrivals(options)];
  t.deepEqual(arrivals, [...createArrivals(options)]);
  const last = arrivals.at(-1)!;
  const rate = arrivals.length / last.atMs * 1_000;
  t.true(Math.abs(rate - 1_000) < 30, `rate ${rate}, seed ${SEED}`);
  const holds = arrivals.filter(({ request }) => request.name === "hold");
  const share = holds.length / arrivals.length;
  t.true(Math.abs(share - 0.25) < 0.015, `share ${share}, seed ${SEED}`);
});

// Measured from the actual send, a stall would show in a single request only.
test("guards against latencies that hide a stall", async (t) => {
  const report = await runLoad({
    ...RUN,
    send: ({ sequence }) => {
      const until = performance.now() + (sequence === 0 ? 150 : 0);
      while (performance.now() < until);
      const outcome = "answered" as const;
      return Promise.resolve({ outcome, reason: "", isDraining: false });
    },
  });
  t.is(report.total.answered.count, 200);
  // About 150 of the 200 requests have their intended start within the stall.
  t.true(report.total.answered.p50 > 30, `p50 ${report.total.answered.p50}`);
  t.regex(formatReport(report), /availdesk +southeast +answered +\d+/);
});

// Each result is aggregated three times: in the total, a group and an interval.
test("guards against results in the wrong percentile, group or interval", (t) => {
  const recorder = new Recorder(1_000);
  const base = { service: "s", region: "r", isDraining: false };
  for (let i = 1; i <= 1_000; i++) {
    recorder.record({
      ...base,
      outcome: "answered",
      reason: "",
      headroom: i / 1_000,
      latencyMs: i,
      endedAtMs: i,
    });
  }
  const refused = { outcome: "not-run", reason: "shift-cap" } as const;
  recorder.record({ ...base, ...refused, latencyMs: 1, endedAtMs: 2_500 });
  const report = recorder.report();
  t.like(report.groups[0]!.outcomes, {
    answered: 1_000,
    "not-run shift-cap": 1,
  });
  const { p50, p99, p999 } = report.total.answered;
  // The histogram has three significant digits, so its error is up to 0.1%.
  t.true(Math.abs(p50 - 500) <= 1 && Math.abs(p99 - 990) <= 1);
  t.true(Math.abs(p999 - 999) <= 1);
  t.deepEqual(report.intervals.map(({ ended }) => ended), [999, 1, 1]);
  t.is(report.intervals[0]!.minHeadroom, 0.001);
  const run = { ...RUN, ...report, elapsedMs: 1, sent: 1 };
  t.false(/NaN|Infinity|undefined/.test(renderPlot(run)));
});

// A cached response has no fresh key, and the preferred entry may be down.
test("guards against a lookup that is not followed, cached or repeated for a new key", async (t) => {
  let lookups = 0;
  let keys = new Set<unknown>();
  let address = "";
  address = await openHttp(t, (request, response) => {
    if (!request.url!.startsWith("/v1/lookup")) {
      keys.add(request.headers["idempotency-key"]);
      response.setHeader("dotterelmoor-outcome", "answered");
      response.end(request.url);
      return;
    }
    lookups += 1;
    response.end(JSON.stringify({
      entries: [
        { address, role: "spare" },
        // Nothing listens on port 1, so the spare entry is used.
        { address: "127.0.0.1:1", role: "preferred" },
      ],
      ttlMs: 60_000,
      issuedKey: `dm1.${lookups}`,
    }));
  });
  const sender = createSender({
    entries: ["127.0.0.1:1", address],
    timeoutMs: 10_000,
    assertAllowed: (target) => assertLoopback(target, false),
  });
  t.teardown(() => sender.close());
  const [query, hold] = MIX.requests;
  const send = (request: typeof query) =>
    sender.send({ sequence: 0, atMs: 0, id: "r", request: request! });
  t.like(await send(query), { outcome: "answered", reason: "" });
  keys = new Set();
  await send(hold);
  await send(hold);
  t.deepEqual(keys, new Set(["dm1.2", "dm1.3"]));
  t.is(sender.countLookupFailures(), 0);
});

// The server closes the connection after it has received the request.
test("guards against a request that is sent twice although it may have run", async (t) => {
  let runs = 0;
  let server = "";
  const answerLookup = () =>
    JSON.stringify({
      entries: [{ address: server }, { address: server, role: "spare" }],
      ttlMs: 60_000,
    });
  server = await openHttp(t, (request, response) => {
    if (request.url!.startsWith("/v1/lookup")) {
      response.end(answerLookup());
      return;
    }
    runs += 1;
    request.socket.destroy();
  });
  const sender = createSender({
    entries: [server],
    timeoutMs: 10_000,
    assertAllowed: () => {},
  });
  t.teardown(() => sender.close());
  const request = MIX.requests[0]!;
  t.like(await sender.send({ sequence: 0, atMs: 0, id: "r", request }), {
    outcome: "failed",
    reason: "connection-lost",
  });
  t.is(runs, 1);
});

// A mistyped address must not send load to a remote host.
test("guards against traffic that leaves the machine", (t) => {
  for (const address of ["192.0.2.1:80", "http://[2001:db8::1]/", "a.test:1"]) {
    t.throws(() => assertLoopback(address, false), undefined, address);
    t.notThrows(() => assertLoopback(address, true));
  }
  for (const address of ["127.9.0.1:80", "http://[::1]:8080/x"]) {
    t.notThrows(() => assertLoopback(address, false), address);
  }
});
