/**
 * Structured logs with a bounded rate for each kind of decision.
 *
 * @module
 */

import { pino } from "pino";
import type { Logger } from "pino";

/** Lines per second of one kind of decision; more are counted only. */
const LINES_PER_SECOND = 5;

/** Bytes gathered before a write; standard output is written in the background. */
const BUFFER_BYTES = 4_096;

/** Part of the edge that a line comes from. */
export type LogPart =
  | "catalog"
  | "edge"
  | "load"
  | "lookup"
  | "member"
  | "plan"
  | "quarantine"
  | "request";

/** Logs of one process. */
export interface EdgeLog {
  part(part: LogPart): Logger;
  /** Logs a decision unless its kind has used up its lines of this second. */
  decide(
    kind: string,
    fields: Readonly<Record<string, unknown>>,
    part?: LogPart,
  ): void;
  /** Writes what is buffered; for the end of the process. */
  flush(): void;
}

interface KindCount {
  secondStartedMs: number;
  lines: number;
  omitted: number;
}

/** Creates the logs; lines go to standard output. */
export function createEdgeLog(options: {
  readonly level: string;
  readonly instance: string;
  readonly region: string;
}): EdgeLog {
  const destination = pino.destination({
    fd: 1,
    sync: false,
    minLength: BUFFER_BYTES,
    maxLength: 64 * BUFFER_BYTES,
  });
  // A closed reader of standard output must not end the process.
  destination.on("error", () => {});
  const { level, instance, region } = options;
  const root = pino({ level, base: { instance, region } }, destination);
  const decisions = new Map<LogPart, Logger>();
  const createPart = (part: LogPart) =>
    root.child({}, { msgPrefix: `[${part}] ` });
  const counts = new Map<string, KindCount>();
  const flushing = setInterval(() => destination.flush(), 1_000);
  flushing.unref();
  return {
    part: createPart,
    decide: (kind, fields, part = "request") => {
      const omitted = takeLine(counts, kind);
      if (omitted === undefined) return;
      const counted = omitted > 0 ? { ...fields, omitted } : fields;
      let log = decisions.get(part);
      if (log === undefined) {
        log = createPart(part);
        decisions.set(part, log);
      }
      log.info(counted, kind);
    },
    flush: () => {
      try {
        destination.flushSync();
      } catch {
        // Nothing is left to report to: standard output itself is gone.
      }
    },
  };
}

/** Lines omitted since the last one, or undefined if this one is omitted. */
function takeLine(
  counts: Map<string, KindCount>,
  kind: string,
): number | undefined {
  const nowMs = performance.now();
  let count = counts.get(kind);
  if (count === undefined) {
    count = { secondStartedMs: nowMs, lines: 0, omitted: 0 };
    counts.set(kind, count);
  }
  if (nowMs - count.secondStartedMs >= 1_000) {
    count.secondStartedMs = nowMs;
    count.lines = 0;
  }
  if (count.lines >= LINES_PER_SECOND) {
    count.omitted += 1;
    return undefined;
  }
  const { omitted } = count;
  count.lines += 1;
  count.omitted = 0;
  return omitted;
}
