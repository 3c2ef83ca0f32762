/**
 * A soak run: starts entries, injects random faults, then checks guarantees.
 *
 * @module
 */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { startCaller, startCrashingCaller } from "./callers.ts";
import { checkGuarantees } from "./checks.ts";
import type { Violation } from "./checks.ts";
import { injectFault, putDocument } from "./faults.ts";
import type { FaultContext } from "./faults.ts";
import { startInstallation } from "./installation.ts";
import type { Installation } from "./installation.ts";
import { Records } from "./records.ts";

/** Fault-free time before callers start, and again before the first fault. */
const WARM_UP_MS = 2_500;

/** Fault-free time after the last fault. */
const RECOVERY_MS = 9_000;

/** Shortest and longest duration of a fault. */
const FAULT_DURATION_MS = [200, 4_000] as const;

/** Shortest and longest time between the starts of two faults, which overlap. */
const FAULT_INTERVAL_MS = [150, 1_500] as const;

/**
 * Shortest and longest time between versions of the routing document. They are
 * published also in fault-free periods, in which their time limits apply to
 * every entry.
 */
const CHANGE_INTERVAL_MS = [800, 4_500] as const;

const STALL_CHECK_INTERVAL_MS = 50;

/**
 * Shortest gap between timer ticks that is recorded as a stall. The stand-ins of
 * the store and the servers run in this process and answer as late.
 */
const MIN_STALL_MS = 300;

const CALLERS = 6;

/** Options of `runSoak`. */
export interface SoakOptions {
  readonly seed: number;
  /** Period in milliseconds in which faults are started. */
  readonly durationMs: number;
  /** Number of entry processes. */
  readonly entries: number;
  /** Number of backend servers. */
  readonly servers: number;
  /** First two octets of the loopback addresses, which no other run may use. */
  readonly network: string;
  readonly firstPort: number;
}

/** Result of a run. */
export interface SoakReport {
  readonly seed: number;
  /** Number of requests sent. */
  readonly requests: number;
  /** Number of requests answered with status 200. */
  readonly served: number;
  /** Number of faults by kind. */
  readonly faults: Readonly<Record<string, number>>;
  readonly violations: readonly Violation[];
  /** All records of the run, for the analysis of a violation. */
  readonly records: Records;
}

/**
 * Runs one seed. The seed determines the faults and the callers' choices, but
 * not the timing of the processes, so runs of a seed differ.
 */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const generator = xoroshiro128plus(options.seed);
  const random = () => uniformFloat64(generator);
  const records = new Records();
  const installation = await startInstallation({
    ...options,
    random,
    onRun: (run) => records.runs.push(run),
    onCrash: (subject) =>
      records.changes.push({
        kind: "crash",
        subject,
        atMs: performance.now(),
      }),
  });
  const watch = watchStalls(records);
  try {
    const context = { installation, records, random, version: 0 };
    const faultsEndedMs = await runCallers(context, options);
    const violations = checkGuarantees(records, { faultsEndedMs });
    return { ...describe(records), seed: options.seed, violations, records };
  } finally {
    clearInterval(watch);
    await installation.close();
  }
}

async function runCallers(
  context: FaultContext,
  { durationMs }: SoakOptions,
): Promise<number> {
  const { installation, records, random } = context;
  putDocument(context);
  await wait(WARM_UP_MS);
  const stops = [...Array(CALLERS).keys()].map((index) =>
    startCaller({
      installation,
      records,
      random,
      name: `c${index}`,
      region: index % 2 === 0 ? "a" : "b",
      pauseMs: 40,
      getVersion: () => context.version,
    })
  );
  const stopChanges = startChanges(context);
  await wait(WARM_UP_MS);
  const stopCrashing = startCrashingCaller({ installation, records, random });
  await runFaults(context, durationMs);
  await resumeEntries(installation);
  const faultsEndedMs = performance.now();
  await wait(RECOVERY_MS);
  stopChanges();
  stopCrashing();
  await Promise.all(stops.map((stop) => stop()));
  return faultsEndedMs;
}

function watchStalls({ stalls }: Records): NodeJS.Timeout {
  let fromMs = performance.now();
  return setInterval(() => {
    const untilMs = performance.now();
    if (untilMs - fromMs > MIN_STALL_MS) stalls.push({ fromMs, untilMs });
    fromMs = untilMs;
  }, STALL_CHECK_INTERVAL_MS);
}

/** Publishes versions repeatedly until the returned function is called. */
function startChanges(context: FaultContext): () => void {
  let timer: NodeJS.Timeout;
  const putLater = () => {
    timer = setTimeout(() => {
      putDocument(context);
      putLater();
    }, pickBetween(CHANGE_INTERVAL_MS, context.random));
  };
  putLater();
  return () => clearTimeout(timer);
}

async function runFaults(
  context: FaultContext,
  durationMs: number,
): Promise<void> {
  const { random } = context;
  const pending: Promise<void>[] = [];
  const endAtMs = performance.now() + durationMs;
  while (performance.now() < endAtMs) {
    pending.push(injectFault(context, pickBetween(FAULT_DURATION_MS, random)));
    await wait(pickBetween(FAULT_INTERVAL_MS, random));
  }
  await Promise.all(pending);
}

/** Resumes all entries and starts those that overlapping faults left stopped. */
async function resumeEntries({ entries }: Installation): Promise<void> {
  for (const entry of entries) {
    entry.process?.resume();
    if (entry.process === undefined) await entry.start();
  }
}

function describe(records: Records) {
  const faults: Record<string, number> = {};
  for (const { kind } of records.faults) faults[kind] = (faults[kind] ?? 0) + 1;
  const requests = records.requests.length;
  const served = records.requests.filter(({ status }) => status === 200).length;
  return { requests, served, faults };
}

function pickBetween(
  [shortest, longest]: readonly [number, number],
  random: () => number,
): number {
  return shortest + random() * (longest - shortest);
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
