/**
 * Structured logs with a prefix for each component of the daemon.
 *
 * @module
 */

import { pino } from "pino";
import type { Logger } from "pino";

/** Component of the daemon that writes a log line. */
export type LogComponent =
  | "claim"
  | "config"
  | "entry"
  | "lease"
  | "link"
  | "member"
  | "operator"
  | "owner"
  | "peer"
  | "platform";

/** Returns the logger of a component. */
export type GetLogger = (component: LogComponent) => Logger;

/** Options of `createLogging`. */
export interface LoggingOptions {
  readonly level: string;
  readonly instance: string;
}

/** Creates the loggers, which write to standard error. */
export function createLogging(options: LoggingOptions): GetLogger {
  const root = pino(
    { level: options.level, base: { instance: options.instance } },
    pino.destination({ fd: 2, sync: false }),
  );
  const loggers = new Map<LogComponent, Logger>();
  return (component) => {
    let logger = loggers.get(component);
    if (logger === undefined) {
      logger = root.child({}, { msgPrefix: `[${component}] ` });
      loggers.set(component, logger);
    }
    return logger;
  };
}
