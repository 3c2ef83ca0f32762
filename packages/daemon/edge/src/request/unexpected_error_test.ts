import test from "ava";
import { callEdge } from "../edge_fixture.ts";
import type { Forwarder } from "./forwarding.ts";
import { startFront } from "./front_fixture.ts";

// An unhandled error would end the process, and a swallowed one would leave the
// caller without an answer.
const FAILING: Readonly<Record<string, Forwarder>> = {
  "an answer that cannot be written": {
    forward: () =>
      Promise.resolve({
        outcome: {
          type: "answered",
          status: 99,
          headers: {},
          body: new Uint8Array(),
        },
        sends: [],
      }),
  },
  "an unexpected error of a request": {
    forward: () => Promise.reject(new Error("Unexpected")),
  },
};

for (const [name, forwarder] of Object.entries(FAILING)) {
  test(`guards against a crash of the process or a waiting caller after ${name}`, async (t) => {
    const { address, front } = await startFront(t, forwarder);
    const answer = await callEdge(address);
    t.is(answer.status, 502);
    t.is(answer.headers["dotterelmoor-request-id"], "q1");
    t.is(front.inFlight, 0);
  });
}
