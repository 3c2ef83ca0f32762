/**
 * Callers that disconnect before the edge has read their requests.
 *
 * @module
 */

import { Worker } from "node:worker_threads";
import type { ExecutionContext } from "ava";

/** Worker script that sends requests, closes each connection before its answer,
 * and then wakes the waiting thread. */
const WORKER_SCRIPT = `
const { connect } = require("node:net");
const { workerData } = require("node:worker_threads");
const { port, done, callers } = workerData;
let open = callers;
for (let index = 0; index < callers; index++) {
  const socket = connect(port, "127.0.0.1", () => {
    const path = "/a/" + index;
    socket.write("GET " + path + " HTTP/1.1\\r\\nhost: desk.example\\r\\n" +
      "dotterelmoor-request-id: q" + index + "\\r\\n\\r\\n");
    setTimeout(() => socket.destroy(), 400);
  });
  socket.once("close", () => {
    open -= 1;
    if (open > 0) return;
    Atomics.store(done, 0, 1);
    Atomics.notify(done, 0);
  });
}
`;

/** Upper limit in milliseconds for all callers to disconnect. */
const DISCONNECT_TIMEOUT_MS = 10_000;

/** Blocks this thread until callers have sent their requests to a port on
 * loopback and disconnected. */
export function waitForDisconnectingCallers(
  t: ExecutionContext,
  { port, callers }: { readonly port: number; readonly callers: number },
): void {
  const done = new Int32Array(new SharedArrayBuffer(4));
  const worker = new Worker(WORKER_SCRIPT, {
    eval: true,
    workerData: { port, done, callers },
  });
  t.teardown(() => worker.terminate());
  Atomics.wait(done, 0, 0, DISCONNECT_TIMEOUT_MS);
  t.is(done[0], 1);
}
