/**
 * Process that sends requests to the servers of a test and reports its largest
 * memory. It runs apart with the flags of an entry, because the memory of the
 * test's own process would count as well.
 *
 * @module
 */

import { fork } from "node:child_process";
import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import type { ExecutionContext } from "ava";
import { createBackendClient, DEFAULT_PROTOCOL } from "./mod.ts";

/** Flags of Node.js that entries run with. */
const ENTRY_FLAGS = [
  "--max-old-space-size=160",
  "--max-semi-space-size=2",
  "--single-threaded",
];

/** What the process sends. */
export interface ProcessTask {
  /** `host:port` of the servers whose answers never end. */
  readonly faulty: readonly string[];
  /** Requests in flight to each of them, all sent at once. */
  readonly sendsPerServer: number;
  /** `host:port` of the server that is called one request after the other until
   * the requests to the faulty servers have ended. */
  readonly sound: string;
  readonly deadlineMs: number;
}

/** What the process has seen. */
export interface ProcessReport {
  /** Number of results of each type. */
  readonly faulty: Readonly<Record<string, number>>;
  readonly sound: Readonly<Record<string, number>>;
  /** Growth of the resident memory up to its largest size, in bytes. */
  readonly grownBytes: number;
}

/** Runs a task in a process of its own. */
export function runInProcess(
  t: ExecutionContext,
  task: ProcessTask,
): Promise<ProcessReport> {
  const child = fork(fileURLToPath(import.meta.url), {
    execArgv: ENTRY_FLAGS,
  });
  t.teardown(() => child.kill("SIGKILL"));
  return new Promise((resolve, reject) => {
    child.once("message", resolve);
    child.once("error", reject);
    child.once("exit", (code, signal) => {
      reject(new Error(`The process ended early (${signal ?? code})`));
    });
    child.send(task);
  });
}

/** Reads a size of this process from the kernel, in bytes. */
function readStatus(field: "VmHWM" | "VmRSS"): number {
  const status = readFileSync("/proc/self/status", "utf8");
  const line = new RegExp(`^${field}:\\s+(\\d+) kB$`, "m").exec(status);
  return Number(line![1]) * 1_024;
}

async function runTask(task: ProcessTask): Promise<ProcessReport> {
  const client = createBackendClient({
    protocol: { ...DEFAULT_PROTOCOL, acceptsCloseDelimited: true },
  });
  const report = { faulty: {}, sound: {} };
  const send = async (
    address: string,
    counts: Record<string, number>,
  ): Promise<void> => {
    const { deadlineMs } = task;
    const { type } = await client.send({
      address,
      method: "GET",
      path: "/",
      headers: {},
      deadlineMs,
      requestId: "r1",
    });
    counts[type] = (counts[type] ?? 0) + 1;
  };
  await send(task.sound, report.sound);
  const startBytes = readStatus("VmRSS");
  let hasEnded = false;
  const sound = (async () => {
    while (!hasEnded) await send(task.sound, report.sound);
  })();
  const faulty = task.faulty.flatMap((address) =>
    Array.from(
      { length: task.sendsPerServer },
      () => send(address, report.faulty),
    )
  );
  await Promise.all(faulty);
  hasEnded = true;
  await sound;
  client.close();
  return { ...report, grownBytes: readStatus("VmHWM") - startBytes };
}

if (process.argv[1] === fileURLToPath(import.meta.url)) {
  process.once("message", async (task: ProcessTask) => {
    const report = await runTask(task);
    process.send!(report, () => process.exit());
  });
}
