/**
 * Signals and unhandled errors of the process.
 *
 * @module
 */

import process from "node:process";

/** A daemon that runs in this process, and may still be starting. */
export interface Daemon {
  /** Shuts down gracefully, once a start that is under way has ended. */
  leave(): Promise<void>;
  /** Logs that the settings changed. */
  noteReload(): void;
}

/** Keeps SIGHUP from ending the process while the program is being loaded. The
 * settings are read later, so the signal needs no action yet. */
export function ignoreReloads(): void {
  process.on("SIGHUP", () => {});
}

/** Forwards the process's signals to the daemon; a stop exits with status 0
 * once the daemon has left, and further stops are ignored. */
export function handleSignals(daemon: Daemon): void {
  let leaving = false;
  const stop = () => {
    if (leaving) return;
    leaving = true;
    daemon.leave().then(() => process.exit(0), (error: unknown) => {
      process.stderr.write(`Cannot leave gracefully: ${error}\n`);
      process.exit(1);
    });
  };
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
  process.on("SIGHUP", () => daemon.noteReload());
}

/** Forwards unhandled errors. An error from one caller's or server's input must
 * not end the process, which would cut off all requests in flight. */
export function handleUnexpectedErrors(
  noteError: (error: unknown) => void,
): void {
  process.on("uncaughtException", noteError);
  process.on("unhandledRejection", noteError);
}
