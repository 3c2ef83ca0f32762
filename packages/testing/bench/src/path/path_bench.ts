/**
 * Compares the latency through an entry with that of the same requests sent
 * directly to the backend servers, with real processes.
 *
 * @module
 */

import { createSender, parseMix, runLoad } from "@dotterelmoor/command.load";
import type { Mix, RunReport } from "@dotterelmoor/command.load";
import { startSystem, waitForGroups } from "@dotterelmoor/testing.demo";
import type { RunningSystem } from "@dotterelmoor/testing.demo";
import { runCalmRounds } from "./calm_rounds.ts";
import type { MeasuredRound } from "./calm_rounds.ts";
import { startWorkDelays } from "./work_delays.ts";

/** Constant service time of the backend servers. */
const SERVICE_MS = 20;
const SERVERS = 3;
const SLOTS_PER_SERVER = 3;
/** Half of the capacity of the servers. */
const RATE_PER_SECOND = SERVERS * SLOTS_PER_SERVER * 1_000 / SERVICE_MS / 2;

const MIX = `
requests:
  - name: query
    service: availdesk
    method: GET
    path: /availability
    share: 1
    key: none
    client: 127.1.0.9
    region: southeast
`;

/** Options of `runPathBench`. */
export interface PathBenchOptions {
  readonly seed: number;
  /** Rounds to compare; an odd number, so that there is a median. */
  readonly rounds: number;
  /** Maximum number of rounds to run, calm or not. */
  readonly maxRounds: number;
  /** Duration of the direct and of the entry phase in each round. */
  readonly durationMs: number;
  /** Time at the start of a phase that isn't measured. */
  readonly warmupMs: number;
}

/** Latencies of both paths and their ratios. */
export interface PathBenchResult {
  readonly rounds: readonly PathRound[];
  /** Median over the rounds of the ratio of p50 through the entry to direct. */
  readonly medianRatio: number;
  /** Median over the rounds of the ratio of p99 through the entry to direct. */
  readonly p99Ratio: number;
  /** Requests through the entry that got no answer. */
  readonly unanswered: number;
}

/** Result of one round. */
export interface PathRound extends MeasuredRound {
  readonly direct: PathLatency;
  readonly entry: PathLatency;
  readonly unanswered: number;
}

/** Latencies of the answered requests, in milliseconds. */
export interface PathLatency {
  /** Answered requests. */
  readonly count: number;
  readonly p50: number;
  readonly p99: number;
}

/** Sends the same seeded arrivals over both paths at half load. */
export async function runPathBench(
  options: PathBenchOptions,
): Promise<PathBenchResult> {
  const system = await startSystem({
    example: "consortium",
    regions: ["southeast"],
    teams: ["availdesk"],
    entriesPerRegion: 2,
    serversPerGroup: SERVERS,
    serverFlags: ["--service-ms", String(SERVICE_MS)],
    entryEnv: { DOTTERELMOOR_LOG_LEVEL: "warn" },
  });
  const delays = startWorkDelays();
  const mix = parseMix(MIX);

  async function runRound(): Promise<PathRound> {
    await delays.take();
    const direct = await runDirect(system, mix, options);
    const entry = await runThroughEntry(system, mix, options);
    return makeRound({ direct, entry, workDelayMs: await delays.take() });
  }

  try {
    await waitForGroups(system, 1);
    return compareRounds(await runCalmRounds({ ...options, runRound }));
  } finally {
    await delays.stop();
    await system.stop();
  }
}

function runThroughEntry(
  system: RunningSystem,
  mix: Mix,
  options: PathBenchOptions,
): Promise<RunReport> {
  const sender = createSender({
    entries: system.entries.map(({ callers }) => callers),
    timeoutMs: 10_000,
    assertAllowed: () => {},
  });
  return runArrivals(mix, options, sender.send).finally(sender.close);
}

/** Sends requests to the servers in turn, as callers that know them could. */
function runDirect(
  system: RunningSystem,
  mix: Mix,
  options: PathBenchOptions,
): Promise<RunReport> {
  const senders = system.servers.map(({ instance }) =>
    createSender({
      entries: [],
      direct: `http://${instance.address}`,
      timeoutMs: 10_000,
      assertAllowed: () => {},
    })
  );
  let next = 0;
  return runArrivals(
    mix,
    options,
    (arrival) => senders[next++ % senders.length]!.send(arrival),
  ).finally(() => senders.forEach((sender) => sender.close()));
}

function runArrivals(
  mix: Mix,
  options: PathBenchOptions,
  send: Parameters<typeof runLoad>[0]["send"],
): Promise<RunReport> {
  return runLoad({
    mix,
    seed: options.seed,
    ratePerSecond: RATE_PER_SECOND,
    durationMs: options.durationMs,
    warmupMs: options.warmupMs,
    maxRequests: 100_000,
    maxInFlight: 2_000,
    intervalMs: 1_000,
    send,
  });
}

function makeRound(options: {
  readonly direct: RunReport;
  readonly entry: RunReport;
  readonly workDelayMs: number;
}): PathRound {
  const { direct, entry, workDelayMs } = options;
  return {
    direct: toLatency(direct),
    entry: toLatency(entry),
    unanswered: entry.total.all.count - entry.total.answered.count,
    workDelayMs,
  };
}

function compareRounds(rounds: readonly PathRound[]): PathBenchResult {
  const computeMedianRatio = (measure: (latency: PathLatency) => number) =>
    rounds.map(({ direct, entry }) => measure(entry) / measure(direct))
      .sort((left, right) => left - right)[Math.floor(rounds.length / 2)]!;
  return {
    rounds,
    medianRatio: computeMedianRatio(({ p50 }) => p50),
    p99Ratio: computeMedianRatio(({ p99 }) => p99),
    unanswered: rounds.reduce((sum, round) => sum + round.unanswered, 0),
  };
}

function toLatency(report: RunReport): PathLatency {
  const { count, p50, p99 } = report.total.answered;
  return { count, p50, p99 };
}
