/**
 * Starts and stops child processes for the demo and for system tests.
 *
 * @module
 */

import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { createInterface } from "node:readline";
import type { Readable } from "node:stream";

/** Maximum number of lines kept per output stream. */
const MAX_LINES = 2_000;

/** Loading the compiled packages takes a few seconds on a busy machine. */
const READY_TIMEOUT_MS = 20_000;

/** A process to start. */
export interface ProcessOptions {
  /** Compiled script that Node.js runs. */
  readonly script: string;
  readonly args?: readonly string[];
  /** Environment variables, added to those of this process. */
  readonly env?: Readonly<Record<string, string>>;
  /** Limit for printing the ready line; 20 s by default. */
  readonly readyTimeoutMs?: number;
  /** Returns true for the ready line; by default its `ready` is true. */
  readonly isReady?: (line: Readonly<Record<string, unknown>>) => boolean;
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
  /** Kills the process (SIGKILL). */
  kill(): void;
  /** Suspends the process (SIGSTOP). */
  freeze(): void;
  /** Continues a suspended process (SIGCONT). */
  resume(): void;
  /** Requests a graceful shutdown (SIGTERM). */
  terminate(): void;
  /** Resolves with the exit code; null if a signal ended the process. */
  readonly exited: Promise<number | null>;
}

const startedProcesses = new Set<ChildProcess>();
let isCleanupRegistered = false;

/**
 * Starts a Node.js process and waits for its ready line. If the process exits
 * or the timeout passes first, kills it and rejects with its last error output.
 */
export async function startProcess(
  options: ProcessOptions,
): Promise<RunningProcess> {
  registerCleanup();
  const child = spawn(
    process.execPath,
    [options.script, ...options.args ?? []],
    {
      env: { ...process.env, ...options.env },
      stdio: ["ignore", "pipe", "pipe"],
    },
  );
  startedProcesses.add(child);
  const exited = waitForExit(child);
  const stderrLines: string[] = [];
  recordLines(child.stderr, stderrLines);
  const stdoutLines: string[] = [];
  const ready = await waitForReady(child, {
    lines: stdoutLines,
    timeoutMs: options.readyTimeoutMs ?? READY_TIMEOUT_MS,
    isReady: options.isReady ?? ((line) => line.ready === true),
    describe: () => `${options.script}: ${stderrLines.slice(-20).join("\n")}`,
  });
  return {
    pid: child.pid!,
    ready,
    stdoutLines,
    stderrLines,
    kill: () => void child.kill("SIGKILL"),
    freeze: () => void child.kill("SIGSTOP"),
    resume: () => void child.kill("SIGCONT"),
    terminate: () => void child.kill("SIGTERM"),
    exited,
  };
}

function waitForExit(child: ChildProcess): Promise<number | null> {
  return new Promise((resolve) => {
    const settle = (code: number | null) => {
      startedProcesses.delete(child);
      resolve(code);
    };
    child.once("exit", settle);
    // Without a process id, the process never started and emits no "exit".
    child.once("error", () => child.pid === undefined && settle(null));
  });
}

interface ReadyOptions {
  readonly lines: string[];
  readonly timeoutMs: number;
  readonly isReady: (line: Readonly<Record<string, unknown>>) => boolean;
  readonly describe: () => string;
}

async function waitForReady(
  child: ChildProcess,
  options: ReadyOptions,
): Promise<Record<string, unknown>> {
  const abortController = new AbortController();
  const timer = setTimeout(() => abortController.abort(), options.timeoutMs);
  const ready = new Promise<Record<string, unknown>>((resolve) => {
    recordLines(child.stdout!, options.lines, (line) => {
      const parsed = parseLine(line);
      if (parsed !== undefined && options.isReady(parsed)) resolve(parsed);
    });
  });
  const { signal } = abortController;
  const exitedEarly = once(child, "exit", { signal }).then(() => undefined);
  try {
    const result = await Promise.race([ready, exitedEarly]);
    if (result !== undefined) return result;
  } catch {
    // The timeout passed, or the process could not be started.
  } finally {
    clearTimeout(timer);
    abortController.abort();
    exitedEarly.catch(() => {});
  }
  child.kill("SIGKILL");
  throw new Error(`Process did not become ready: ${options.describe()}`);
}

function parseLine(line: string): Record<string, unknown> | undefined {
  try {
    return JSON.parse(line) ?? undefined;
  } catch {
    return undefined;
  }
}

function recordLines(
  stream: Readable,
  lines: string[],
  onLine: (line: string) => void = () => {},
): void {
  createInterface({ input: stream }).on("line", (line) => {
    lines.push(line);
    if (lines.length > MAX_LINES) lines.splice(0, MAX_LINES / 2);
    onLine(line);
  });
}

/** Kills all started processes, suspended ones too, when this process exits. */
function registerCleanup(): void {
  if (isCleanupRegistered) return;
  isCleanupRegistered = true;
  process.once("exit", stopAll);
  for (const signal of ["SIGINT", "SIGTERM"] as const) {
    process.once(signal, () => {
      stopAll();
      process.exit(signal === "SIGINT" ? 130 : 143);
    });
  }
}

function stopAll(): void {
  for (const child of startedProcesses) child.kill("SIGKILL");
  startedProcesses.clear();
}
