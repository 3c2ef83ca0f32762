import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import type { ExecutionContext } from "ava";
import test from "ava";
import { createBackendClient } from "./mod.ts";

/** Time in milliseconds by which the process is busy beyond a timeout. */
const BUSY_MS = 50;

/** Keeps this thread busy until a moment of the monotonic clock. */
function waitBusyUntil(timeMs: number): void {
  while (performance.now() < timeMs);
}

/** Sends one request to a server that answers at once; the result is still
 * open when this returns. */
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
  // Timers come next in the turn of the event loop, before the sockets.
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

// The timer of the deadline is due before the answer in the socket is read.
test.serial("guards against an answer that came in time and is dropped because its process was busy", async (t) => {
  const deadlineMs = 500;
  const times = { deadlineMs, connectTimeoutMs: deadlineMs };
  const endAtMs = performance.now() + deadlineMs + BUSY_MS;
  const { result } = await startSend(t, times, () => {
    setImmediate(() => waitBusyUntil(endAtMs));
  });
  t.is((await result).type, "answered");
});

// The timer of the connection is due before its opening is noticed.
test.serial("guards against a server that is taken to refuse connections because its caller was busy", async (t) => {
  const connectTimeoutMs = 100;
  const times = { deadlineMs: 10_000, connectTimeoutMs };
  const { result } = await startSend(t, times, () => {});
  // The connection is opened at the end of this turn of the event loop.
  await new Promise<void>((resolve) => process.nextTick(resolve));
  waitBusyUntil(performance.now() + connectTimeoutMs + BUSY_MS);
  t.is((await result).type, "answered");
});
