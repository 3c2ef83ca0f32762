/**
 * Runs the dispatch policies and compares them in a table.
 *
 * @module
 */

import {
  makeIdealPolicy,
  makeRandomPolicy,
  makeRoundRobinPolicy,
  makeTwoChoicesPolicy,
} from "./baselines.ts";
import {
  makeAdaptiveControl,
  makeFixedControl,
  makeGradientControl,
} from "./limit_control.ts";
import { makeOwnerPolicy } from "./owner_policy.ts";
import { runScenario } from "./scenario.ts";
import type { RunFigures, ScenarioName } from "./scenario.ts";
import type { Policy, World } from "./world.ts";

/** Options of the benchmark; times are virtual. */
export interface PolicyBenchOptions {
  readonly seed: number;
  /** Time of a run in which requests are measured. */
  readonly durationMs: number;
  /** One-way delay between a caller and its entry. */
  readonly clientMs: number;
}

/** Result of a policy in a scenario, one row of the table. */
export interface PolicyRow extends RunFigures {
  readonly scenario: ScenarioName;
  /** Share of the warm slots that the requests need. */
  readonly load: number;
  /** Name of the policy. */
  readonly policy: string;
  /** p50 relative to that of the ideal queue in the same scenario and load. */
  readonly p50Ratio: number;
  /** p99 relative to that of the ideal queue in the same scenario and load. */
  readonly p99Ratio: number;
}

type Policies = Readonly<Record<string, (world: World) => Policy>>;

const IDEAL = "ideal queue";

const STEADY_POLICIES: Policies = {
  [IDEAL]: makeIdealPolicy,
  "ours": (world) => makeOwnerPolicy(world),
  "two choices": makeTwoChoicesPolicy,
  "round robin": makeRoundRobinPolicy,
  "random": makeRandomPolicy,
};

const TARGET_POLICIES: Policies = {
  [IDEAL]: makeIdealPolicy,
  "ours": STEADY_POLICIES["ours"]!,
};

const RAMP_POLICIES: Policies = {
  [IDEAL]: makeIdealPolicy,
  "ours": STEADY_POLICIES["ours"]!,
  "ours, fixed limit 24": (world) =>
    makeOwnerPolicy(world, { makeControl: () => makeFixedControl(2) }),
  "ours, fixed limit 48": (world) =>
    makeOwnerPolicy(world, { makeControl: () => makeFixedControl(4) }),
  "ours, adaptive limit": (world) =>
    makeOwnerPolicy(world, { makeControl: makeAdaptiveControl }),
  "ours, gradient limit": (world) =>
    makeOwnerPolicy(world, { makeControl: makeGradientControl }),
};

const CASES: readonly {
  readonly scenario: ScenarioName;
  readonly load: number;
  readonly policies: Policies;
}[] = [
  { scenario: "steady", load: 0.5, policies: STEADY_POLICIES },
  { scenario: "steady", load: 0.8, policies: STEADY_POLICIES },
  { scenario: "steady", load: 0.95, policies: STEADY_POLICIES },
  { scenario: "entry killed", load: 0.8, policies: TARGET_POLICIES },
  { scenario: "cold ramp", load: 0.5, policies: RAMP_POLICIES },
  { scenario: "cold ramp", load: 0.8, policies: RAMP_POLICIES },
];

/** Runs the policies of every scenario. */
export function runPolicyBench(options: PolicyBenchOptions): PolicyRow[] {
  return CASES.flatMap((benchCase) =>
    runPolicies(benchCase.policies, benchCase, options)
  );
}

/**
 * Runs the product's policy and the ideal queue at load 0.8, for which the
 * design sets targets.
 */
export function runTargetBench(options: PolicyBenchOptions): PolicyRow[] {
  return CASES.filter(({ load }) => load === 0.8)
    .flatMap((benchCase) => runPolicies(TARGET_POLICIES, benchCase, options));
}

function runPolicies(
  policies: Policies,
  benchCase: { scenario: ScenarioName; load: number },
  options: PolicyBenchOptions,
): PolicyRow[] {
  const { scenario, load } = benchCase;
  const runs = Object.entries(policies).map(([policy, makePolicy]) => ({
    policy,
    figures: runScenario({ ...options, scenario, load, makePolicy }),
  }));
  const ideal = runs.find(({ policy }) => policy === IDEAL)!.figures;
  return runs.map(({ policy, figures }) => ({
    scenario,
    load,
    policy,
    ...figures,
    p50Ratio: figures.p50Ms / ideal.p50Ms,
    p99Ratio: figures.p99Ms / ideal.p99Ms,
  }));
}

/** Renders the rows as a text table. */
export function renderPolicyTable(rows: readonly PolicyRow[]): string {
  const percent = (share: number) => `${(100 * share).toFixed(2)}%`;
  const cells = rows.map((row) => [
    row.scenario,
    percent(row.load).replace(".00", ""),
    row.policy,
    row.p50Ms.toFixed(1),
    row.p99Ms.toFixed(1),
    row.p50Ratio.toFixed(2),
    row.p99Ratio.toFixed(2),
    percent(row.refusedShare),
    percent(row.failedShare),
    percent(row.overShare),
    row.peakOverSlots.toFixed(2),
    row.drainMs.toFixed(0),
  ]);
  const table = [HEADINGS, ...cells];
  const widths = HEADINGS.map((_, column) =>
    Math.max(...table.map((line) => line[column]!.length))
  );
  return table.map((line) =>
    line.map((cell, column) =>
      column < 3 ? cell.padEnd(widths[column]!) : cell.padStart(widths[column]!)
    ).join("  ")
  ).join("\n");
}

const HEADINGS: string[] = [
  "scenario",
  "load",
  "policy",
  "p50 ms",
  "p99 ms",
  "p50/ideal",
  "p99/ideal",
  "refused",
  "failed",
  "over slots",
  "peak/slots",
  "drain ms",
];
