/**
 * Open-loop load generator.
 *
 * @module
 */

export { createArrivals } from "./arrivals.ts";
export type { Arrival, ArrivalOptions } from "./arrivals.ts";
export { buildFlags, command, describe, flags, handler } from "./command.ts";
export type { LoadFlags } from "./command.ts";
export { parseMix } from "./mix.ts";
export type { Mix, MixRequest } from "./mix.ts";
export type { RequestOutcome } from "./outcomes.ts";
export { renderPlot } from "./plot.ts";
export type {
  GroupReport,
  IntervalReport,
  LatencySummary,
} from "./recorder.ts";
export { runLoad } from "./run.ts";
export type { RunOptions, RunReport } from "./run.ts";
export { createSender } from "./sender.ts";
export type { Sender, SenderOptions } from "./sender.ts";
export { formatReport } from "./text_report.ts";
