/**
 * Structured logs with a rate limit for each kind of decision.
 *
 * @module
 */

import { pino } from "pino";
import type { Logger } from "pino";

/** Largest number of lines per second for one kind of decision; further lines
 * are only counted. */
const LINES_PER_SECOND = 5;

/** Number of bytes buffered before an asynchronous write to standard output. */
const BUFFER_BYTES = 4_096;

/** Part of the edge that a line comes from; printed as a prefix. */
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
  /** Creates the logger of one part. */
  part(part: LogPart): Logger;
  /** Logs a decision unless its kind has reached its limit for this second. The
   * next line of the kind has the number of omitted lines as `omitted`. */
  decide(
    kind: string,
    fields: Readonly<Record<string, unknown>>,
    part?: LogPart,
  ): void;
  /** Writes buffered lines synchronously; to be called before the process
   * exits. */
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
  // Without a listener, a closed standard output would end the process.
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
        // Standard output itself is closed, so the error can't be reported.
      }
    },
  };
}

/** Takes one line of a kind's limit: returns the number of lines omitted since
 * the last logged one, or undefined if this line must be omitted. */
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
