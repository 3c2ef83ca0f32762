/**
 * Processor time and memory of processes, read from /proc.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { performance } from "node:perf_hooks";

const TICKS_PER_SECOND = 100;
const PAGE_BYTES = 4_096;
const BYTES_PER_MB = 1_000_000;

/** Processor time of a process at one moment. */
export interface CpuSample {
  /** Time of the sample on the monotonic clock. */
  readonly atMs: number;
  /** User and system time since the start of the process. */
  readonly cpuMs: number;
}

/** Minimum, median and maximum. */
export interface Spread {
  readonly min: number;
  readonly median: number;
  readonly max: number;
}

/** Reads the processor time of a process. */
export function readCpu(pid: number): CpuSample {
  const text = readFileSync(`/proc/${pid}/stat`, "utf8");
  // The process name may contain spaces, so fields are counted after it.
  const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[11]) + Number(fields[12]);
  return {
    atMs: performance.now(),
    cpuMs: ticks * 1_000 / TICKS_PER_SECOND,
  };
}

/** Reads the resident memory of a process in megabytes. */
export function readResidentMb(pid: number): number {
  const pages = readFileSync(`/proc/${pid}/statm`, "utf8").split(" ")[1];
  return Number(pages) * PAGE_BYTES / BYTES_PER_MB;
}

/** Computes the usage of one core between two samples, in percent. */
export function computeCpuPercent(from: CpuSample, to: CpuSample): number {
  return 100 * (to.cpuMs - from.cpuMs) / (to.atMs - from.atMs);
}

/** Computes the spread of at least one value, rounded to tenths. */
export function computeSpread(values: readonly number[]): Spread {
  const sorted = values.toSorted((a, b) => a - b);
  const at = (share: number) =>
    Math.round(10 * sorted[Math.floor(share * (sorted.length - 1))]!) / 10;
  return { min: at(0), median: at(0.5), max: at(1) };
}
