/**
 * Ports for tests that hand a port to a program, or expect that nothing listens
 * on it. A port that the kernel chose may be taken again as soon as it is free,
 * also as the local port of a connection. The ports here are outside of the
 * range from which the kernel chooses, and each process claims its own.
 *
 * @module
 */

import { existsSync, readFileSync } from "node:fs";
import { createServer } from "node:net";
import type { Server } from "node:net";
import process from "node:process";

/** Lowest and highest port from which the kernel chooses. */
const KERNEL_RANGE_FILE = "/proc/sys/net/ipv4/ip_local_port_range";
/** The range that is used without that file: the one registered for it. */
const DEFAULT_KERNEL_RANGE = "49152 65535";

const FIRST_PORT = 20_000;
const LAST_PORT = 65_535;
/** A process claims this many ports at once, and listens on the first of them
 * until it ends. */
const BLOCK_PORTS = 64;

interface Block {
  nextPort: number;
  readonly endPort: number;
}

let claimed: Block | undefined;
let claiming: Promise<Block> | undefined;

/** Claims a port of loopback for the lifetime of this process. */
export function claimPort(): Promise<number> {
  return claimPorts(1);
}

/** Claims consecutive ports and returns the first one. */
export async function claimPorts(count: number): Promise<number> {
  if (count >= BLOCK_PORTS) throw new RangeError(`${count} ports are too many`);
  for (;;) {
    if (claimed === undefined || claimed.nextPort + count > claimed.endPort) {
      claiming ??= claimBlock().finally(() => claiming = undefined);
      claimed = await claiming;
      continue;
    }
    const first = claimed.nextPort;
    claimed.nextPort += count;
    const ports = Array.from({ length: count }, (_, index) => first + index);
    const areFree = await Promise.all(ports.map(isFree));
    if (areFree.every(Boolean)) return first;
  }
}

async function claimBlock(): Promise<Block> {
  const blocks = listBlocks();
  for (let tried = 0; tried < blocks.length; tried++) {
    const first = blocks[(process.pid + tried) % blocks.length]!;
    const server = await listen(first);
    if (server === undefined) continue;
    server.unref();
    return { nextPort: first + 1, endPort: first + BLOCK_PORTS };
  }
  throw new Error("All ports for tests are claimed");
}

/** Lists the first port of each block outside of the kernel's range. */
function listBlocks(): number[] {
  const text = existsSync(KERNEL_RANGE_FILE)
    ? readFileSync(KERNEL_RANGE_FILE, "utf8")
    : DEFAULT_KERNEL_RANGE;
  const [lowest, highest] = text.trim().split(/\s+/).map(Number);
  const blocks: number[] = [];
  for (
    let first = FIRST_PORT;
    first + BLOCK_PORTS - 1 <= LAST_PORT;
    first += BLOCK_PORTS
  ) {
    const isOutside = first + BLOCK_PORTS <= lowest! || first > highest!;
    if (isOutside) blocks.push(first);
  }
  return blocks;
}

/** Checks that no program without a claim listens on the port. */
async function isFree(port: number): Promise<boolean> {
  const server = await listen(port);
  if (server === undefined) return false;
  await new Promise((resolve) => server.close(resolve));
  return true;
}

/** Resolves to undefined if the port is in use. */
function listen(port: number): Promise<Server | undefined> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once("error", (error: NodeJS.ErrnoException) => {
      if (error.code === "EADDRINUSE") resolve(undefined);
      else reject(error);
    });
    server.listen({ port, host: "127.0.0.1", exclusive: true }, () => {
      resolve(server);
    });
  });
}
