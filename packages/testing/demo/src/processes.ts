/**
 * Starts processes for the demo and for system tests, and ends them.
 *
 * @module
 */

/** A process to start. */
export interface ProcessOptions {
  /** Compiled script that Node.js runs. */
  readonly script: string;
  readonly args?: readonly string[];
  readonly env?: Readonly<Record<string, string>>;
  /** Time in milliseconds for printing the ready line. */
  readonly readyTimeoutMs?: number;
}

/** A process that has printed its ready line. */
export interface RunningProcess {
  readonly pid: number;
  /** Parsed ready line, such as `{"ready":true,"url":"http://..."}`. */
  readonly ready: Readonly<Record<string, unknown>>;
  /** Last lines of standard output, oldest first. */
  readonly stdoutLines: readonly string[];
  /** Last lines of standard error, oldest first. */
  readonly stderrLines: readonly string[];
  /** Ends the process without notice (SIGKILL). */
  kill(): void;
  /** Stops the process in place (SIGSTOP). */
  freeze(): void;
  /** Continues a frozen process (SIGCONT). */
  resume(): void;
  /** Asks the process to end (SIGTERM). */
  terminate(): void;
  /** Exit code; null when a signal ended the process. */
  readonly exited: Promise<number | null>;
}

/** Starts a process and waits for its ready line. */
export function startProcess(
  _options: ProcessOptions,
): Promise<RunningProcess> {
  throw new Error("Not implemented");
}
