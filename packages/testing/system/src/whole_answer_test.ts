import { randomUUID } from "node:crypto";
import { Agent } from "node:http";
import test from "ava";
import { setFaults, waitUntil } from "@dotterelmoor/testing.demo";
import type { RunningSystem } from "@dotterelmoor/testing.demo";
import type { ExecutionContext } from "ava";
import { describeResults, FIRST_REGION_CALLER, sendCall } from "./calls.ts";
import type { Call, CallResult } from "./calls.ts";
import { countRunsByKey, listRepeated } from "./counting.ts";
import { startTestSystem } from "./test_system.ts";

const HOLDS = "holdkeeper";
const QUERIES = "availdesk";
const REQUESTS = 300;
/**
 * At least two rounds, so that connections which had late answers are reused.
 * On a busy machine many requests miss their deadline; more rounds make up for
 * them.
 */
const MIN_ROUNDS = 2;
const MAX_ROUNDS = 6;
/** Longer than the deadline of some requests, shorter than that of others. */
const LATE_MS = 700;

interface Echo {
  readonly path: string;
  readonly requestId: string;
  readonly key: string | null;
  readonly body: string;
  readonly pad: string;
}

/** Makes responses larger than one socket read. */
const PAD_BYTES = 100_000;

/** Makes one server of each service answer late and one truncate answers. */
async function setServerFaults(system: RunningSystem): Promise<void> {
  for (const service of [HOLDS, QUERIES]) {
    const [late, truncating] = system.servers.filter(({ instance }) =>
      instance.service === service
    );
    await setFaults(late!.controlUrl, { lateMs: LATE_MS });
    await setFaults(truncating!.controlUrl, { cutBody: true });
  }
}

/** Every third request is a query; the others have bodies of varying length. */
function makeCall(system: RunningSystem, number: number, agent: Agent): Call {
  const entry = system.entries[number % system.entries.length]!.callers;
  const deadlineMs = number % 4 === 0 ? 500 : 3_000;
  const headers = { "dotterelmoor-deadline-ms": String(deadlineMs) };
  const key = randomUUID();
  const common = { entry, headers, key, agent };
  if (number % 3 === 0) {
    return {
      ...common,
      service: QUERIES,
      path: `/availability?number=${number}`,
    };
  }
  return {
    ...common,
    service: HOLDS,
    path: `/holds/${number}`,
    method: "POST",
    body: `${number} `.repeat(1 + (number * 37) % 4_000),
  };
}

/**
 * Sends a request. Every seventh caller aborts it, after 0 to 294 ms, so that
 * some abort immediately and some only after the response.
 */
function sendAndMaybeAbort(call: Call, number: number): Promise<CallResult> {
  if (number % 7 !== 0) return sendCall(call);
  return sendCall({ ...call, signal: AbortSignal.timeout(number % 50 * 6) });
}

/** Status with which a server answers a request stopped at its deadline. */
const STOPPED_STATUS = 504;

function assertOwnAnswer(t: ExecutionContext, result: CallResult): void {
  const echo = JSON.parse(result.body) as Echo;
  const { call, requestId } = result;
  if (result.status === STOPPED_STATUS) {
    const { path, key } = call;
    t.like(echo, { requestId, key, path });
    return;
  }
  t.deepEqual(
    {
      requestId: echo.requestId,
      key: echo.key,
      path: echo.path,
      isOwnBody: echo.body === (call.body ?? ""),
      padding: echo.pad.length,
    },
    {
      requestId,
      key: call.key!,
      path: call.path,
      isOwnBody: true,
      padding: PAD_BYTES,
    },
  );
}

function assertResult(
  t: ExecutionContext,
  result: CallResult,
  number: number,
): void {
  if (result.outcome === "answered") return assertOwnAnswer(t, result);
  // Only a caller that aborted its request may lack an outcome.
  const isAborted = number % 7 === 0;
  t.true(result.outcome !== "lost" || isAborted, `${number}: ${result.reason}`);
  if (result.outcome !== "lost") t.true(result.reason !== "");
}

// Servers that answer late or truncate answers, and callers that abort, leave
// connections with unread data that later requests must not receive.
test.serial("guards against responses that are truncated, mixed up or another caller's", async (t) => {
  const system = await startTestSystem(t, {
    example: "consortium",
    regions: ["southeast"],
    entriesPerRegion: 3,
    serversPerGroup: 3,
    teams: [HOLDS, QUERIES],
    serverFlags: [
      ...["--service-ms", "10", "--distribution", "exponential"],
      ...["--answer-bytes", String(PAD_BYTES)],
    ],
  });
  await setServerFaults(system);
  const agent = new Agent({
    keepAlive: true,
    maxSockets: 100,
    localAddress: FIRST_REGION_CALLER,
  });
  t.teardown(() => agent.destroy());
  const results: CallResult[] = [];
  const count = (outcome: string) =>
    results.filter((result) => result.outcome === outcome).length;
  const countComplete = () =>
    results.filter(({ outcome, status }) =>
      outcome === "answered" && status !== STOPPED_STATUS
    ).length;
  for (let round = 0; round < MAX_ROUNDS; round += 1) {
    if (round >= MIN_ROUNDS && countComplete() >= REQUESTS) break;
    const sent = Array.from(
      { length: REQUESTS },
      (_, number) => sendAndMaybeAbort(makeCall(system, number, agent), number),
    );
    results.push(...await Promise.all(sent));
  }
  t.log(describeResults(results));
  results.forEach((result, index) => assertResult(t, result, index % REQUESTS));
  t.true(countComplete() >= REQUESTS, describeResults(results));
  t.true(count("unknown") > 0, "no answer was late or truncated");
  t.true(count("lost") > 0, "no caller aborted its request");
  const runs = await countRunsByKey(system);
  const holds = new Set(
    results.filter(({ call }) => call.service === HOLDS)
      .map(({ call }) => call.key!),
  );
  t.deepEqual(listRepeated(runs).filter((key) => holds.has(key)), []);
  const falselyRefused = results.filter(({ outcome, call }) =>
    outcome === "not-run" && runs.has(call.key!)
  );
  t.is(falselyRefused.length, 0, describeResults(falselyRefused));
  await waitUntil(async () => {
    // An earlier answer to the same request may have been truncated, which must
    // not put the request into quarantine.
    const last = await sendCall(makeCall(system, 3, agent));
    return last.outcome === "answered";
  }, { timeoutMs: 5_000, what: "an answer to a query sent last" });
});
