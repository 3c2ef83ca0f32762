/**
 * Preloaded into a program by `--import`: raises a signal or an error in the
 * process at a moment of its start, so that it comes neither earlier nor later.
 *
 * @module
 */

import fs from "node:fs";
import { syncBuiltinESMExports } from "node:module";
import { Server } from "node:net";
import process from "node:process";
import { fileURLToPath } from "node:url";

/** Moment of a start: as the settings are read, or as the first listener is
 * opened. */
export type StartMoment = "listening" | "reading_settings";

/** What is raised; `rejection` is a promise that nothing handles. */
export type RaisedEvent = "rejection" | "SIGHUP" | "SIGTERM";

/** A signal or an error that is raised at a moment of a start. */
export interface StartSignal {
  readonly moment: StartMoment;
  readonly event: RaisedEvent;
  /** File that is read at the moment `reading_settings`. */
  readonly settingsFile: string;
}

/** Builds the arguments and environment for a program that raises a signal. */
export function buildStartSignal(start: StartSignal): {
  readonly args: readonly string[];
  readonly env: Readonly<Record<string, string>>;
} {
  return {
    args: [`--import=${fileURLToPath(import.meta.url)}`],
    env: { START_SIGNAL: JSON.stringify(start) },
  };
}

const EVENTS: Readonly<Record<RaisedEvent, () => void>> = {
  rejection: () => void Promise.reject(new Error("Raised during the start")),
  SIGHUP: () => process.kill(process.pid, "SIGHUP"),
  SIGTERM: () => process.kill(process.pid, "SIGTERM"),
};

const RAISERS: Readonly<Record<StartMoment, (start: StartSignal) => void>> = {
  listening: ({ event }) => {
    const { listen } = Server.prototype;
    const listenAfterSignal = function (this: Server, ...args: [number]) {
      Server.prototype.listen = listen;
      EVENTS[event]();
      return listen.apply(this, args);
    };
    Server.prototype.listen = listenAfterSignal as typeof listen;
  },
  reading_settings: ({ event, settingsFile }) => {
    const { readFileSync } = fs;
    fs.readFileSync = ((...args: Parameters<typeof readFileSync>) => {
      if (args[0] === settingsFile) EVENTS[event]();
      return readFileSync(...args);
    }) as typeof readFileSync;
    syncBuiltinESMExports();
  },
};

if (process.env.START_SIGNAL !== undefined) {
  const start = JSON.parse(process.env.START_SIGNAL) as StartSignal;
  RAISERS[start.moment](start);
}
