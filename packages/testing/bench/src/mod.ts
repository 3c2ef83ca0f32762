/**
 * Benchmarks of the decision library, with baselines.
 *
 * @module
 */

export {
  renderPolicyTable,
  runPolicyBench,
  runTargetBench,
} from "./policies/policy_bench.ts";
export type { PolicyBenchOptions, PolicyRow } from "./policies/policy_bench.ts";
export * from "./slopes/mod.ts";
