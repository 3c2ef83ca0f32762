import { execFile } from "node:child_process";
import { once } from "node:events";
import { readFileSync } from "node:fs";
import { createServer } from "node:net";
import process from "node:process";
import { promisify } from "node:util";
import test from "ava";
import { claimPorts } from "./claimed_ports_fixture.ts";

const run = promisify(execFile);
const FIXTURE = new URL("./claimed_ports_fixture.js", import.meta.url).href;
const PROCESSES = 4;
/** More than one block of ports. */
const PORTS = 100;

/** Claims ports at the same time as the other processes, and prints them. */
const CLAIMER = `
  const { claimPort } = await import(${JSON.stringify(FIXTURE)});
  const ports = Array.from({ length: ${PORTS} }, () => claimPort());
  console.log(JSON.stringify(await Promise.all(ports)));
  process.stdin.resume();
  process.stdin.on("end", () => process.exit());
`;

// Test files run at the same time, each in its own process.
test("guards against a port that two processes of tests choose, or the kernel", async (t) => {
  const args = ["--input-type=module", "-e", CLAIMER];
  const children = Array.from(
    { length: PROCESSES },
    () => run(process.execPath, args),
  );
  const lists = await Promise.all(
    children.map(({ child }) =>
      new Promise<number[]>((resolve, reject) => {
        child.stdout!.once("data", (data) => resolve(JSON.parse(String(data))));
        child.once("error", reject);
      })
    ),
  );
  for (const { child } of children) child.stdin!.end();
  await Promise.all(children);
  const ports = lists.flat();
  t.is(new Set(ports).size, PROCESSES * PORTS);
  const [lowest, highest] = readFileSync(
    "/proc/sys/net/ipv4/ip_local_port_range",
    "utf8",
  ).trim().split(/\s+/).map(Number);
  const chosenByKernel = ports.filter((port) =>
    port >= lowest! && port <= highest!
  );
  t.deepEqual(chosenByKernel, []);
});

// The ports of an installation are consecutive.
test("guards against a claimed port on which another program listens", async (t) => {
  const listen = async (port: number) => {
    const server = createServer();
    t.teardown(() => server.close());
    server.listen(port, "127.0.0.1");
    await once(server, "listening");
  };
  const first = await claimPorts(4);
  await listen(first + 6);
  const second = await claimPorts(4);
  for (let index = 0; index < 4; index++) {
    await listen(first + index);
    await listen(second + index);
  }
  t.pass();
});
