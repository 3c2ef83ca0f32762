import { spawn } from "node:child_process";
import { once } from "node:events";
import { createServer } from "node:net";
import type { Socket } from "node:net";
import process from "node:process";
import test from "ava";
import { claimPort } from "../../peering/src/claimed_ports_fixture.ts";
import { createBackendClient } from "./mod.ts";

const TIMEOUT_MS = 500;

// A terminated server refuses connections, while one that resets them still
// accepts new ones.
test("guards against a terminated server that counts as alive, or the reverse", async (t) => {
  const client = createBackendClient();
  t.teardown(() => client.close());
  const server = createServer((socket: Socket) => socket.resetAndDestroy());
  const port = await claimPort();
  await new Promise<void>((resolve) =>
    server.listen(port, "127.0.0.1", resolve)
  );
  const address = `127.0.0.1:${port}`;
  t.is(await client.checkListening(address, TIMEOUT_MS), "accepts");
  await new Promise((resolve) => server.close(resolve));
  t.is(await client.checkListening(address, TIMEOUT_MS), "refuses");
});

/** Listens with a backlog of one connection and prints the port. */
const LISTENER = `
  const server = require("node:net").createServer();
  server.listen({ port: 0, host: "127.0.0.1", backlog: 1 }, () =>
    console.log(server.address().port));
`;

// A suspended process accepts no connections, and its kernel drops the first
// packet of those beyond the backlog, as a network path that is down does.
test("guards against an unresponsive server that counts as terminated", async (t) => {
  const client = createBackendClient();
  t.teardown(() => client.close());
  const child = spawn(process.execPath, ["-e", LISTENER]);
  t.teardown(() => child.kill("SIGKILL"));
  const [printed] = await once(child.stdout, "data") as [Buffer];
  child.kill("SIGSTOP");
  const address = `127.0.0.1:${Number(printed.toString())}`;
  const queued = Array.from(
    { length: 8 },
    () => client.checkListening(address, TIMEOUT_MS),
  );
  t.true((await Promise.all(queued)).includes("silent"));
});
