/**
 * Runs a complete system of today's size under load and failures.
 *
 * @module
 */

import { loadavg } from "node:os";
import { monitorEventLoopDelay } from "node:perf_hooks";
import { setTimeout as wait } from "node:timers/promises";
import { createSender, runLoad } from "@dotterelmoor/command.load";
import type { RunReport, Sender } from "@dotterelmoor/command.load";
import {
  readCounters,
  startSystem,
  waitForGroups,
} from "@dotterelmoor/testing.demo";
import type { ExampleName, RunningSystem } from "@dotterelmoor/testing.demo";
import { runChange, runDrain, runEnd } from "./events.ts";
import type { DrainResult, EndResult } from "./events.ts";
import {
  ENTRIES_PER_REGION,
  makeCallerAddress,
  RATE_PER_SECOND,
  SCENARIOS,
  SERVERS_PER_GROUP,
  SERVICE_MS,
} from "./scenario.ts";
import type { Scenario } from "./scenario.ts";
import {
  computeCpuPercent,
  computeSpread,
  readCpu,
  readResidentMb,
} from "./usage.ts";
import type { CpuSample, Spread } from "./usage.ts";

const WARMUP_MS = 5_000;
const PHASE_MS = 10_000;
/** Phases: steady load, drain, change, termination, kill and recovery. */
const DURATION_MS = WARMUP_MS + 6 * PHASE_MS;
const GROUP_COUNT = 12;
const LOOKUP_TTL_MS = 5_000;

/** Options of `runTodayBench`. */
export interface TodayBenchOptions {
  readonly example: ExampleName;
  readonly seed: number;
}

/** Results of one run. */
export interface TodayBenchResult {
  readonly example: ExampleName;
  readonly seed: number;
  readonly ratePerSecond: number;
  /** Latency by service. */
  readonly services: Readonly<Record<string, ServiceResult>>;
  /** Requests by outcome. */
  readonly outcomes: Readonly<Record<string, number>>;
  /** Requests that got no answer, by the phase in which they ended. */
  readonly unanswered: Readonly<Record<string, number>>;
  readonly servers: ServerTotals;
  readonly drain: DrainResult;
  /** Milliseconds until the change is in force on all entries. */
  readonly changeMs: number;
  readonly terminated: EndResult;
  readonly killed: EndResult;
  /** Resident memory of each surviving entry. */
  readonly entryResidentMb: Spread;
  /** Processor time of each surviving entry, in percent of a core. */
  readonly entryCpuPercent: Spread;
  /** Resident memory of all surviving entries and the servers together. */
  readonly allResidentMb: number;
  /** One-minute load average of the machine, before and after the run. */
  readonly machineLoad: readonly [number, number];
  /** Event loop delay of the load generator, which is part of each latency. */
  readonly loadDelayP99Ms: number;
}

/** Latency of the answered requests of a service, in milliseconds. */
export interface ServiceResult {
  /** Answered requests. */
  readonly answered: number;
  readonly p50: number;
  readonly p99: number;
}

/** Counters over all backend servers. */
export interface ServerTotals {
  /** Requests whose work started. */
  readonly runs: number;
  /** Requests whose work started while all slots of the server were in use. */
  readonly overSlots: number;
  /** Most requests in flight at one server. */
  readonly maxInFlight: number;
  /** Distinct idempotency keys. */
  readonly keys: number;
  /** Idempotency keys that ran more than once. */
  readonly keysRunAgain: number;
}

/** Runs the experiment for one example, about 65 s of load. */
export async function runTodayBench(
  options: TodayBenchOptions,
): Promise<TodayBenchResult> {
  const scenario = SCENARIOS[options.example];
  const loadBefore = readMachineLoad();
  const system = await startSystem({
    example: options.example,
    regions: scenario.regions,
    entriesPerRegion: ENTRIES_PER_REGION,
    serversPerGroup: SERVERS_PER_GROUP,
    serverFlags: ["--service-ms", `${SERVICE_MS}`, "--distribution", "uniform"],
    lookupTtlMs: LOOKUP_TTL_MS,
    entryEnv: { DOTTERELMOOR_LOG_LEVEL: "warn" },
  });
  try {
    reportFailedEntries(system);
    await waitForGroups(system, GROUP_COUNT);
    const result = await measureSystem(system, scenario, options);
    return { ...result, machineLoad: [loadBefore, readMachineLoad()] };
  } finally {
    await system.stop();
  }
}

/** Prints the last error output of entries that exit with an error code. */
function reportFailedEntries(system: RunningSystem): void {
  for (const { instance, process } of system.entries) {
    process.exited.then((code) => {
      if (code === 0 || code === null) return;
      const lines = process.stderrLines.slice(-20).join("\n");
      console.error(`${instance} exited with code ${code}:\n${lines}`);
    });
  }
}

type MeasuredResult = Omit<TodayBenchResult, "machineLoad">;

async function measureSystem(
  system: RunningSystem,
  scenario: Scenario,
  { example, seed }: TodayBenchOptions,
): Promise<MeasuredResult> {
  const unanswered: Record<string, number> = {};
  const cpu = new Map(
    system.entries.map(({ process }) => [process.pid, readCpu(process.pid)]),
  );
  const timeline = createTimeline(system, scenario);
  const delay = monitorEventLoopDelay({ resolution: 5 });
  delay.enable();
  const [report, events] = await Promise.all([
    runCallers(system, scenario, { seed, timeline, unanswered }),
    timeline.run(),
  ]);
  delay.disable();
  return {
    example,
    seed,
    ratePerSecond: RATE_PER_SECOND,
    services: listServices(report),
    outcomes: report.total.outcomes,
    unanswered,
    servers: await readServerTotals(system),
    ...events,
    ...readUsage(system, cpu),
    loadDelayP99Ms: Math.round(delay.percentile(99) / 100_000) / 10,
  };
}

interface Timeline {
  phase: string;
  run(): Promise<
    Pick<TodayBenchResult, "changeMs" | "drain" | "killed" | "terminated">
  >;
}

/** Creates the sequence of events, one phase apart. */
function createTimeline(system: RunningSystem, scenario: Scenario): Timeline {
  const [, second, third] = scenario.regions;
  const timeline: Timeline = { phase: "steady", run };

  async function runPhase<T>(name: string, event: () => Promise<T>) {
    timeline.phase = name;
    const [result] = await Promise.all([event(), wait(PHASE_MS)]);
    return result;
  }

  async function run() {
    await wait(WARMUP_MS + PHASE_MS);
    const drain = await runPhase("drain", () => runDrain(system));
    const changeMs = await runPhase(
      "change",
      () => runChange(system, scenario.changedTeam),
    );
    const terminated = await runPhase(
      "termination",
      () => runEnd(system, second!, "terminate"),
    );
    const killed = await runPhase("kill", () => runEnd(system, third!, "kill"));
    timeline.phase = "after";
    return { drain, changeMs, terminated, killed };
  }
  return timeline;
}

interface CallerOptions {
  readonly seed: number;
  readonly timeline: Timeline;
  readonly unanswered: Record<string, number>;
}

/** Sends the load; callers send to the entries of their own region. */
async function runCallers(
  system: RunningSystem,
  scenario: Scenario,
  { seed, timeline, unanswered }: CallerOptions,
): Promise<RunReport> {
  const senders = new Map<string, Sender>(
    scenario.regions.map((region, index) => [
      makeCallerAddress(index),
      createSender({
        entries: system.entries.filter((entry) => entry.region === region)
          .map(({ callers }) => callers),
        timeoutMs: 10_000,
        assertAllowed: () => {},
      }),
    ]),
  );
  const report = await runLoad({
    mix: scenario.mix,
    seed,
    ratePerSecond: RATE_PER_SECOND,
    durationMs: DURATION_MS,
    warmupMs: WARMUP_MS,
    maxRequests: 100_000,
    maxInFlight: 2_000,
    intervalMs: 1_000,
    send: async (arrival) => {
      const sender = senders.get(arrival.request.client!)!;
      const outcome = await sender.send(arrival);
      if (outcome.outcome !== "answered") {
        const name = `${timeline.phase}: ${outcome.outcome} ${outcome.reason}`;
        unanswered[name] = (unanswered[name] ?? 0) + 1;
      }
      return outcome;
    },
  });
  for (const sender of senders.values()) sender.close();
  return report;
}

function listServices(report: RunReport): Record<string, ServiceResult> {
  return Object.fromEntries(report.groups.map(({ service, answered }) => {
    const { count, p50, p99 } = answered;
    return [service, { answered: count, p50, p99 }];
  }));
}

interface Counters {
  readonly runs: number;
  readonly overSlots: number;
  readonly maxInFlight: number;
  readonly runsByKey: Readonly<Record<string, number>>;
}

async function readServerTotals(system: RunningSystem): Promise<ServerTotals> {
  const all = await Promise.all(
    system.servers.map(({ controlUrl }) => readCounters<Counters>(controlUrl)),
  );
  const runsByKey = new Map<string, number>();
  for (const [key, runs] of all.flatMap((c) => Object.entries(c.runsByKey))) {
    runsByKey.set(key, (runsByKey.get(key) ?? 0) + runs);
  }
  return {
    runs: all.reduce((sum, { runs }) => sum + runs, 0),
    overSlots: all.reduce((sum, { overSlots }) => sum + overSlots, 0),
    maxInFlight: Math.max(...all.map(({ maxInFlight }) => maxInFlight)),
    keys: runsByKey.size,
    keysRunAgain: [...runsByKey.values()].filter((runs) => runs > 1).length,
  };
}

function readUsage(
  system: RunningSystem,
  before: ReadonlyMap<number, CpuSample>,
) {
  const pids = system.entries.map(({ process }) => process.pid);
  const servers = system.servers.map(({ process }) => process.pid);
  const resident = pids.map(readResidentMb);
  const all = [...resident, ...servers.map(readResidentMb)];
  return {
    entryResidentMb: computeSpread(resident),
    entryCpuPercent: computeSpread(
      pids.map((pid) => computeCpuPercent(before.get(pid)!, readCpu(pid))),
    ),
    allResidentMb: Math.round(all.reduce((sum, mb) => sum + mb, 0)),
  };
}

function readMachineLoad(): number {
  return Math.round(10 * loadavg()[0]!) / 10;
}
