import { connect } from "node:net";
import test from "ava";
import { DisposableStore } from "@dotterelmoor/core.types";
import { waitForDisconnectingCallers } from "../leaving_callers_fixture.ts";
import { wait } from "../process/intervals.ts";
import { startStallDetector } from "../process/stalls.ts";
import { waitUntil } from "../started_fixture.ts";
import { ANSWER, createTestForwarder } from "./forwarder_fixture.ts";
import { startFront } from "./front_fixture.ts";
import { createHeldForwarder, writeRequest } from "./held_forwarder_fixture.ts";

const CALLERS = 40;

// A busy entry accepts one connection per turn of its event loop, so requests
// are read long after their callers disconnected, although no turn is a stall.
test("guards against forwarding requests whose callers disconnected while the entry was busy", async (t) => {
  const store = new DisposableStore();
  t.teardown(() => store.dispose());
  // Constant clocks, so that a pause of the test's process is not taken for a
  // stall.
  const clocks = { steadyMs: () => 0, wallMs: () => 0 };
  let sent = 0;
  let ended = 0;
  const forwarder = createTestForwarder({
    stalls: startStallDetector({ store, clocks }),
    send: () => {
      sent += 1;
      return Promise.resolve(ANSWER);
    },
  });
  const { address } = await startFront(t, {
    forward: (request) =>
      forwarder.forward(request).finally(() => {
        ended += 1;
      }),
  });
  waitForDisconnectingCallers(t, { port: address.port, callers: CALLERS });
  while (ended < CALLERS) await wait(10);
  t.is(sent, 0);
});

// Only the first of them has the connection; the others wait for it.
test("guards against requests in a pipeline that go on when their caller disconnects", async (t) => {
  const forwarder = createHeldForwarder();
  const { address, front } = await startFront(t, forwarder);
  const socket = connect(address);
  socket.write(["q1", "q2", "q3"].map(writeRequest).join(""));
  await forwarder.waitFor(3);
  socket.destroy();
  await waitUntil(t, () => Promise.resolve(front.inFlight === 0));
  const signals = [...forwarder.signals.values()];
  t.deepEqual(signals.map(({ aborted }) => aborted), [true, true, true]);
});
