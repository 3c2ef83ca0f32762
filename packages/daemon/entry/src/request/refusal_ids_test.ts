import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import type { ExecutionContext } from "ava";
import test from "ava";
import { pino } from "pino";
import { createCallerApp, MAX_REQUEST_BYTES } from "./caller_app.ts";

/** Sends a request with an id to an entry whose requests are all answered as
 * quarantined. */
async function sendRequest(
  t: ExecutionContext,
  options: { readonly isReady: boolean; readonly body: string },
) {
  const app = createCallerApp({
    lookUp: () => ({}),
    runRequest: () =>
      Promise.resolve({
        type: "not-run",
        reason: "quarantined",
        retryAfterMs: 1,
      }),
    isReady: () => options.isReady,
    isLeaving: () => false,
    nowMs: () => performance.now(),
    onAnswer: () => {},
    log: pino({ level: "silent" }),
  });
  const server = createServer(app.callback());
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  const response = await fetch(`http://127.0.0.1:${port}/services/orders/a`, {
    method: "POST",
    headers: { "dotterelmoor-request-id": "r1" },
    body: options.body,
  });
  await response.arrayBuffer();
  return response;
}

const CASES = {
  "not-configured": { isReady: false, body: "a" },
  "too-large": { isReady: true, body: "a".repeat(MAX_REQUEST_BYTES + 1) },
  quarantined: { isReady: true, body: "a" },
};

// Callers tell by the id whether a refusal is that of their request.
for (const [reason, options] of Object.entries(CASES)) {
  test(`guards against a refusal without the id of its request, ${reason}`, async (t) => {
    const { headers } = await sendRequest(t, options);
    t.is(headers.get("dotterelmoor-reason"), reason);
    t.is(headers.get("dotterelmoor-request-id"), "r1");
  });
}
