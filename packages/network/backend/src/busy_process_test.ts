import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import type { ExecutionContext } from "ava";
import test from "ava";
import { createBackendClient } from "./mod.ts";

/** Time for which the process stays busy beyond a timeout. */
const BUSY_MS = 50;

/** Blocks this thread until a time of the monotonic clock. */
function waitBusyUntil(timeMs: number): void {
  while (performance.now() < timeMs);
}

/** Starts to send a request to a server that answers immediately, and returns
 * the pending result. */
async function startSend(
  t: ExecutionContext,
  times: { readonly deadlineMs: number; readonly connectTimeoutMs: number },
  onAnswered: () => void,
) {
  const server = createServer((_request, response) => {
    response.end("whole");
    onAnswered();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const client = createBackendClient(times);
  t.teardown(() => {
    client.close();
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  // Next, the event loop runs timers, before it reads sockets.
  await new Promise((resolve) => setImmediate(resolve));
  const result = client.send({
    address: `127.0.0.1:${port}`,
    method: "GET",
    path: "/",
    headers: {},
    deadlineMs: times.deadlineMs,
    requestId: "r1",
  });
  return { result };
}

// The timer of the deadline is due before the event loop reads the response
// from the socket.
test.serial("guards against a timeout despite a timely response because the process was busy", async (t) => {
  const deadlineMs = 500;
  const times = { deadlineMs, connectTimeoutMs: deadlineMs };
  const endAtMs = performance.now() + deadlineMs + BUSY_MS;
  const { result } = await startSend(t, times, () => {
    setImmediate(() => waitBusyUntil(endAtMs));
  });
  t.is((await result).type, "answered");
});

// The timer of the connect timeout is due before the event loop sees that the
// connection is open.
test.serial("guards against a server that counts as refusing connections because the process was busy", async (t) => {
  const connectTimeoutMs = 100;
  const times = { deadlineMs: 10_000, connectTimeoutMs };
  const { result } = await startSend(t, times, () => {});
  // The connection is opened at the end of this turn of the event loop.
  await new Promise<void>((resolve) => process.nextTick(resolve));
  waitBusyUntil(performance.now() + connectTimeoutMs + BUSY_MS);
  t.is((await result).type, "answered");
});
