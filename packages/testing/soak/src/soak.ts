/**
 * One run: entries under random faults, then checks of the promises.
 *
 * @module
 */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { startCaller, startCrashingCaller } from "./callers.ts";
import { checkPromises } from "./checks.ts";
import type { Violation } from "./checks.ts";
import { injectFault, putDocument } from "./faults.ts";
import type { FaultContext } from "./faults.ts";
import { startInstallation } from "./installation.ts";
import type { Installation } from "./installation.ts";
import { Records } from "./records.ts";

/** Time in milliseconds without faults before and after them. */
const LEAD_MS = 2_500;
const CALM_MS = 9_000;

/** Shortest and longest time in milliseconds that a fault lasts, and between
 * two that begin; they overlap. */
const FAULT_MS = [200, 4_000] as const;
const GAP_MS = [150, 1_500] as const;

/** Shortest and longest time in milliseconds between configurations; they come
 * also without faults, when their bounds hold at every entry. */
const CHANGE_MS = [800, 4_500] as const;

/** Interval in milliseconds at which stalls are looked for, and the least one:
 * store and servers answer late for as long. */
const WATCH_MS = 50;
const STALL_MS = 300;

const CALLERS = 6;

/** Options of `runSoak`. */
export interface SoakOptions {
  readonly seed: number;
  /** Time in milliseconds in which faults begin. */
  readonly durationMs: number;
  readonly entries: number;
  readonly servers: number;
  /** First two numbers of loopback addresses that no other run uses. */
  readonly network: string;
  readonly firstPort: number;
}

/** What a run showed. */
export interface SoakReport {
  readonly seed: number;
  readonly requests: number;
  readonly served: number;
  readonly faults: Readonly<Record<string, number>>;
  readonly violations: readonly Violation[];
  /** Faults and changes in order, for tracing a violation. */
  readonly records: Records;
}

/** Runs one seed. The seed decides the faults and what callers do; the
 * processes' own timing varies. */
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
    const calmFromMs = await runCallers(context, options);
    const violations = checkPromises(records, { calmFromMs });
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
  await wait(LEAD_MS);
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
  await wait(LEAD_MS);
  const stopCrashing = startCrashingCaller({ installation, records, random });
  await runFaults(context, durationMs);
  await reviveAll(installation);
  const calmFromMs = performance.now();
  await wait(CALM_MS);
  stopChanges();
  stopCrashing();
  await Promise.all(stops.map((stop) => stop()));
  return calmFromMs;
}

function watchStalls({ stalls }: Records): NodeJS.Timeout {
  let fromMs = performance.now();
  return setInterval(() => {
    const untilMs = performance.now();
    if (untilMs - fromMs > STALL_MS) stalls.push({ fromMs, untilMs });
    fromMs = untilMs;
  }, WATCH_MS);
}

/** Puts configurations one after another; the result stops it. */
function startChanges(context: FaultContext): () => void {
  let timer: NodeJS.Timeout;
  const putLater = () => {
    timer = setTimeout(() => {
      putDocument(context);
      putLater();
    }, pickBetween(CHANGE_MS, context.random));
  };
  putLater();
  return () => clearTimeout(timer);
}

async function runFaults(
  context: FaultContext,
  durationMs: number,
): Promise<void> {
  const { random } = context;
  const open: Promise<void>[] = [];
  const endAtMs = performance.now() + durationMs;
  while (performance.now() < endAtMs) {
    open.push(injectFault(context, pickBetween(FAULT_MS, random)));
    await wait(pickBetween(GAP_MS, random));
  }
  await Promise.all(open);
}

/** A restart may have met another fault of the same entry. */
async function reviveAll({ entries }: Installation): Promise<void> {
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
  [least, most]: readonly [number, number],
  random: () => number,
): number {
  return least + random() * (most - least);
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
