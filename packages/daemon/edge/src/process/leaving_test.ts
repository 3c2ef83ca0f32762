import { once } from "node:events";
import type { Server } from "node:http";
import { connect } from "node:net";
import type { Socket } from "node:net";
import test from "ava";
import { startFront } from "../request/front_fixture.ts";
import {
  createHeldForwarder,
  writeRequest,
} from "../request/held_forwarder_fixture.ts";
import { wait } from "./intervals.ts";
import { stopGracefully } from "./leaving.ts";
import type { Peers } from "./peers.ts";

const PEERS = { leave: () => {} } as Peers;

/** Resolves when no further connection is accepted. */
async function waitForClose(callers: Server): Promise<void> {
  while (callers.listening) await wait(10);
}

/** Resolves with all that is received until the connection ends. */
async function readToEnd(socket: Socket): Promise<string> {
  const chunks: Buffer[] = [];
  socket.on("data", (chunk) => chunks.push(chunk));
  await once(socket, "close");
  return Buffer.concat(chunks).toString();
}

// Node.js counts a connection as idle once its oldest answer is ended, although
// the caller has not read it all and later requests are at their servers.
test("guards against cutting an answer that a caller reads slowly, and the answers behind it, when the listener closes", async (t) => {
  const forwarder = createHeldForwarder();
  const { front, address, callers } = await startFront(t, forwarder);
  const socket = connect(address);
  socket.on("error", () => {});
  socket.write(["q1", "q2"].map(writeRequest).join(""));
  await forwarder.waitFor(2);
  // Larger than the socket buffers, so that it ends only when the caller reads.
  const body = "x".repeat(32 * 1_024 * 1_024);
  forwarder.ends.get("q1")!(body);
  await once(socket, "readable");
  const stopped = stopGracefully({
    graceMs: 5_000,
    front,
    peers: PEERS,
    callers,
  });
  await waitForClose(callers);
  forwarder.ends.get("q2")!("answer to q2");
  const received = await readToEnd(socket);
  t.true(received.length > body.length, `${received.length} bytes`);
  t.regex(received.slice(-1_000), /connection: close[^]*answer to q2$/i);
  await stopped;
});
