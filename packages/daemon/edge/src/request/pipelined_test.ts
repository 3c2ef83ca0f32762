import { once } from "node:events";
import { connect } from "node:net";
import test from "ava";
import type { ForwardResult } from "./forward_types.ts";
import { startFront } from "./front_fixture.ts";
import { createHeldForwarder, writeRequest } from "./held_requests_fixture.ts";

// Servers run the requests that were forwarded, so only the last answer may
// close the connection.
test("guards against cutting off pipelined requests with the first answer of a shutdown", async (t) => {
  const forwarder = createHeldForwarder();
  const { front, address } = await startFront(t, forwarder);
  const socket = connect(address);
  let received = "";
  socket.on("data", (chunk) => received += chunk);
  socket.write(["q1", "q2", "q3"].map(writeRequest).join(""));
  await forwarder.waitFor(3);
  front.startLeaving(60_000);
  for (const [id, end] of forwarder.ends) end(`answer to ${id}`);
  await once(socket, "end");
  const bodies = received.match(/answer to q\d/g);
  t.deepEqual(bodies, ["answer to q1", "answer to q2", "answer to q3"]);
  t.is(received.match(/connection: close/gi)?.length, 1);
  t.regex(received, /connection: close[^]*answer to q3$/i);
});

// The connection closes before the answer to such a request could be written.
test("guards against forwarding a request that arrives behind an answer which closes its connection", async (t) => {
  const forwarder = createHeldForwarder();
  const { front, address } = await startFront(t, forwarder);
  const socket = connect(address);
  socket.write(writeRequest("q1"));
  await forwarder.waitFor(1);
  front.startLeaving(60_000);
  // Larger than the socket buffers, so that the answer ends only when the
  // caller reads it.
  const body = "x".repeat(32 * 1_024 * 1_024);
  forwarder.ends.get("q1")!(body);
  await once(socket, "readable");
  socket.write(writeRequest("q2"));
  let bytes = 0;
  socket.on("data", (chunk) => bytes += chunk.length);
  socket.on("error", () => {});
  await once(socket, "close");
  t.true(bytes >= body.length);
  t.deepEqual([...forwarder.ends.keys()], ["q1"]);
});

// Node.js tells only the oldest request of a connection that it closed.
test("guards against working for a caller that disconnected while its requests waited behind another", async (t) => {
  const signals: AbortSignal[] = [];
  let markForwarded = () => {};
  const forwarded = new Promise<void>((resolve) => markForwarded = resolve);
  const { address, callers, front } = await startFront(t, {
    forward: ({ signal }) => {
      signals.push(signal);
      if (signals.length === 3) markForwarded();
      return new Promise<ForwardResult>(() => {});
    },
  });
  const closed = once(callers, "connection")
    .then(([caller]) => once(caller, "close"));
  const socket = connect(address);
  socket.write(["q1", "q2", "q3"].map(writeRequest).join(""));
  await forwarded;
  socket.destroy();
  await closed;
  t.deepEqual(signals.map(({ aborted }) => aborted), [true, true, true]);
  t.is(front.inFlight, 0);
});
