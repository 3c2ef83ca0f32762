import { once } from "node:events";
import { connect } from "node:net";
import test from "ava";
import { pino } from "pino";
import { openListener } from "../process/listeners.ts";
import { createCallerApp } from "./caller_app.ts";

const ODD_HEADERS = {
  "without a host": { header: "", status: 400 },
  "with an unknown expectation": {
    header: "host: entry\r\nexpect: x\r\n",
    status: 200,
  },
} as const;

function buildRequest(id: string, header = "host: entry\r\n"): string {
  return `POST /services/a/x HTTP/1.1\r\n${header}` +
    `dotterelmoor-request-id: ${id}\r\ncontent-length: 0\r\n\r\n`;
}

// Without a host, Node.js would also close the connection under the requests
// behind it, which run.
for (const [name, { header, status }] of Object.entries(ODD_HEADERS)) {
  test(`guards against Node.js answering a request ${name} in the place of the entry`, async (t) => {
    const runs: string[] = [];
    const log = pino({ level: "silent" });
    const app = createCallerApp({
      lookUp: () => ({}),
      runRequest: ({ requestId }) => {
        runs.push(requestId);
        const body = Buffer.from(`ran ${requestId}`);
        const answer = { server: "s1", status: 200, headers: {}, body };
        return Promise.resolve({ type: "answered", ...answer });
      },
      isReady: () => true,
      isLeaving: () => false,
      nowMs: () => 0,
      onAnswer: () => {},
      log,
    });
    const listener = await openListener({
      host: "127.0.0.1",
      port: 0,
      maxConnections: 1,
      handler: app.callback(),
      log,
    });
    t.teardown(() => listener.close());
    const socket = connect(Number(listener.address.split(":")[1]), "127.0.0.1");
    t.teardown(() => socket.destroy());
    let received = "";
    const ended = once(socket, "close");
    const answered = new Promise<void>((resolve) => {
      socket.on("data", (chunk) => {
        received += chunk;
        if (received.includes("ran q3")) resolve();
      });
    });
    socket.write(
      buildRequest("q1") + buildRequest("q2", header) + buildRequest("q3"),
    );
    await Promise.race([answered, ended]);
    t.log({ runs });
    const statuses = [...received.matchAll(/HTTP\/1.1 (\d+)/g)];
    t.deepEqual(statuses.map(([, text]) => Number(text)), [200, status, 200]);
    t.deepEqual(runs, status === 200 ? ["q1", "q2", "q3"] : ["q1", "q3"]);
  });
}
