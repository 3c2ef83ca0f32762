/**
 * A front in a process of its own with the flags of an entry, whose largest
 * memory can be read. Its requests are answered with the hash of their body.
 *
 * @module
 */

import { fork } from "node:child_process";
import { createHash } from "node:crypto";
import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import type { ExecutionContext } from "ava";
import type { RequestBody } from "@dotterelmoor/network.backend";
import { wait } from "../process/intervals.ts";
import { startFront } from "./front_fixture.ts";

/** Flags of Node.js that entries run with. */
const ENTRY_FLAGS = [
  "--max-old-space-size=160",
  "--max-semi-space-size=2",
  "--single-threaded",
];

/** Time in milliseconds in which a request is answered once its body is
 * read. */
const WORK_MS = 100;

const ROUTE_TIMEOUT_MS = 60_000;

/** A front that runs in a process. */
export interface FrontProcess {
  readonly address: { readonly host: string; readonly port: number };
  /** Returns by how many bytes the memory has grown up to its largest size. */
  readGrownBytes(): number;
}

/** Computes the answer to a body. */
export function hashBody(body: RequestBody): string {
  const hash = createHash("sha256");
  const parts = body instanceof Uint8Array ? [body] : body;
  for (const part of parts) hash.update(part);
  return hash.digest("hex");
}

/** Starts a front whose callers may send bodies of the given size. */
export async function startFrontProcess(
  t: ExecutionContext,
  maxBodyBytes: number,
): Promise<FrontProcess> {
  const child = fork(fileURLToPath(import.meta.url), [String(maxBodyBytes)], {
    execArgv: ENTRY_FLAGS,
  });
  t.teardown(() => child.kill("SIGKILL"));
  const address = await new Promise<FrontProcess["address"]>(
    (resolve, reject) => {
      child.once("message", resolve);
      child.once("error", reject);
      child.once("exit", () => reject(new Error("The process ended early")));
    },
  );
  const startBytes = readStatus(child.pid!, "VmRSS");
  return {
    address,
    readGrownBytes: () => readStatus(child.pid!, "VmHWM") - startBytes,
  };
}

/** Reads a size of a process from the kernel, in bytes. */
function readStatus(pid: number, field: "VmHWM" | "VmRSS"): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const line = new RegExp(`^${field}:\\s+(\\d+) kB$`, "m").exec(status);
  return Number(line![1]) * 1_024;
}

async function runFront(maxBodyBytes: number): Promise<void> {
  const { address } = await startFront(
    { teardown: () => {} },
    {
      forward: async ({ body }) => {
        await wait(WORK_MS);
        const answer = Buffer.from(hashBody(body));
        return {
          outcome: { type: "answered", status: 200, headers: {}, body: answer },
          sends: [],
        };
      },
    },
    { route: { timeoutMs: ROUTE_TIMEOUT_MS }, limits: { maxBodyBytes } },
  );
  process.send!(address);
}

if (process.argv[1] === fileURLToPath(import.meta.url)) {
  await runFront(Number(process.argv[2]));
}
