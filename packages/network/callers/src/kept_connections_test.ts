import { once } from "node:events";
import { createServer } from "node:http";
import type { IncomingMessage } from "node:http";
import { connect } from "node:net";
import type { AddressInfo } from "node:net";
import { setImmediate } from "node:timers/promises";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import test from "ava";
import { Pipelines, watchConnections } from "./mod.ts";

setFlagsFromString("--expose-gc");
const collectGarbage: () => void = runInNewContext("gc");

/** Garbage collections before the check. */
const MAX_COLLECTIONS = 20;

const HEADS: Readonly<Record<string, string>> = {
  "without a body": "GET / HTTP/1.1\r\nhost: x\r\n\r\n",
  "with a body": "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\nok",
};

// Idle connections held the heads and bodies of their last requests, until the
// process was out of memory.
for (const isRead of [true, false]) {
  for (const [name, head] of Object.entries(HEADS)) {
    test(`guards against connections that keep their last request while they are idle: ${name}, read ${isRead}`, async (t) => {
      const pipelines = new Pipelines();
      const requests: WeakRef<IncomingMessage>[] = [];
      const server = createServer((request, response) => {
        t.true(pipelines.admit(request));
        requests.push(new WeakRef(request));
        if (isRead) request.resume().once("end", () => response.end("done"));
        else response.end("done");
      });
      watchConnections(server, { onBroken: () => {} });
      server.listen(0, "127.0.0.1");
      await once(server, "listening");
      t.teardown(() => server.close());
      const { port } = server.address() as AddressInfo;
      const socket = connect(port, "127.0.0.1");
      t.teardown(() => socket.destroy());
      for (let count = 0; count < 3; count++) {
        socket.write(head);
        await once(socket, "data");
      }
      for (let count = 0; count < MAX_COLLECTIONS; count++) {
        await setImmediate();
        collectGarbage();
      }
      t.is(requests.length, 3);
      t.is(
        requests.filter((request) => request.deref() !== undefined).length,
        0,
      );
      t.false(socket.destroyed);
    });
  }
}
