import test from "ava";
import { buildResponse, startRawClient } from "./raw_client_fixture.ts";

/** More than the buffers of a connection hold. */
const BODY_BYTES = 30_000_000;

// Otherwise such connections take up the limit of the server for ever.
test("guards against a connection that stays open because its server answered and reads no more", async (t) => {
  const { send, sockets } = await startRawClient(t, {
    maxConnectionsPerServer: 1,
    idleMs: 300,
    onHead: (socket, id) => {
      if (id === "r1") socket.pause();
      const headers = ["dotterelmoor-not-run: true", "content-length: 0"];
      const refusal = { status: 503, headers };
      socket.write(buildResponse(id, id === "r1" ? refusal : {}));
    },
  });
  const body = new Uint8Array(BODY_BYTES);
  t.is((await send("r1", { body })).type, "refused");
  t.is((await send("r2")).type, "answered");
  t.is(sockets.length, 2);
});

// The rest of the body is written, and the connection is used again.
test("guards against giving up the connection of a server that answers early and reads on", async (t) => {
  const { send, sockets } = await startRawClient(t, {
    maxConnectionsPerServer: 1,
    idleMs: 5_000,
    onHead: (socket, id) => {
      if (id === "r1") {
        socket.pause();
        setTimeout(() => socket.resume(), 100);
      }
      socket.write(buildResponse(id));
    },
  });
  const body = new Uint8Array(BODY_BYTES);
  t.is((await send("r1", { body })).type, "answered");
  t.is((await send("r2")).type, "answered");
  t.is(sockets.length, 1);
});

// Dropped bytes could be the first part of a copy, and the next request would
// be given the rest.
test("guards against a connection that is kept after bytes that came while the body was written", async (t) => {
  const { send, sockets } = await startRawClient(t, {
    maxConnectionsPerServer: 1,
    idleMs: 5_000,
    onHead: (socket, id) => {
      socket.write(buildResponse(id));
      if (id !== "r1") return;
      socket.pause();
      setTimeout(() => socket.write(buildResponse(id)), 50);
      setTimeout(() => socket.resume(), 150);
    },
  });
  const body = new Uint8Array(BODY_BYTES);
  t.is((await send("r1", { body })).type, "answered");
  await new Promise((resolve) => setTimeout(resolve, 400));
  t.is((await send("r2")).type, "answered");
  t.is(sockets.length, 2);
});
