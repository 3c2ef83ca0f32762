import { once } from "node:events";
import { connect, createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import type { ExecutionContext } from "ava";
import test from "ava";
import { claimPort } from "./claimed_ports_fixture.ts";
import { decodeFrame, encodeFrame, FrameReader } from "./frames.ts";
import { buildHello } from "./hello.ts";
import type { PeerIdentity, PeerMessage } from "./messages.ts";
import { createPeerPool } from "./pool.ts";
import { createPeerServer } from "./server.ts";
import type { PeerHandlers, PeerLimits } from "./types.ts";

const TOKEN = "peer token";
const MAX = 5 * 1024 * 1024;

function makeIdentity(processId: string): PeerIdentity {
  return {
    incarnation: 4,
    processId,
    instance: `instance-${processId}`,
    region: "southeast",
    zone: "a",
  };
}

function makeMessage(message: unknown): PeerMessage {
  return { type: "membership", message };
}

async function openServer(
  t: ExecutionContext,
  handlers: PeerHandlers,
  limits?: Partial<PeerLimits>,
  port = 0,
) {
  const server = await createPeerServer({
    host: "127.0.0.1",
    port,
    identity: makeIdentity("server"),
    token: TOKEN,
    handlers,
    limits,
  });
  t.teardown(() => server.close());
  return server;
}

function openPool(t: ExecutionContext, token = TOKEN) {
  const pool = createPeerPool({ identity: makeIdentity("pool"), token });
  t.teardown(() => pool.close());
  return pool;
}

/** Starts a peer that answers the hello; the test answers all other frames. */
async function openRawPeer(
  t: ExecutionContext,
  onFrame: (socket: Socket, value: Record<string, unknown>) => void,
): Promise<string> {
  const server = createServer((socket) => {
    const reader = new FrameReader(MAX);
    socket.on("error", () => {});
    socket.on("data", (chunk: Buffer) => {
      reader.add(chunk);
      for (let part = reader.take(); part; part = reader.take()) {
        const value = decodeFrame(part) as Record<string, unknown>;
        if (value.type !== "hello") onFrame(socket, value);
        else socket.write(makeFrame(buildHello(makeIdentity("raw"), TOKEN)));
      }
    });
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  t.teardown(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function makeFrame(value: unknown): Buffer {
  return encodeFrame(value, MAX)!;
}

/** Sends bytes and returns all frames until the peer closes the connection. */
async function sendRaw(address: string, bytes: Buffer): Promise<unknown[]> {
  const socket = connect(Number(address.split(":")[1]), "127.0.0.1");
  const reader = new FrameReader(MAX);
  socket.on("data", (chunk: Buffer) => reader.add(chunk));
  socket.write(bytes);
  await once(socket, "close");
  const values: unknown[] = [];
  for (let part = reader.take(); part; part = reader.take()) {
    values.push(decodeFrame(part));
  }
  return values;
}

test("guards against peers with another version, no token or bad frames", async (t) => {
  let handled = 0;
  const { address } = await openServer(t, {
    membership: () => {
      handled += 1;
      return Promise.resolve(undefined);
    },
  });
  const hello = buildHello(makeIdentity("raw"), TOKEN);
  const call = makeFrame({ ...makeMessage(1), id: 1 });
  const oversized = Buffer.from([0, 0x60, 0, 0]);
  const cases: [string, Buffer, number][] = [
    ["unknown-version", makeFrame({ ...hello, protocol: 2 }), 0],
    ["bad-token", makeFrame({ ...hello, token: "peer tokem" }), 0],
    ["malformed-hello", makeFrame(makeMessage(1)), 0],
    ["frame-too-large", Buffer.from([0, 0, 0x20, 0]), 0],
    ["frame-too-large", Buffer.concat([makeFrame(hello), oversized]), 1],
    [
      "malformed-frame",
      Buffer.concat([makeFrame(hello), makeFrame({ type: "x" })]),
      1,
    ],
    [
      "malformed-frame",
      Buffer.concat([makeFrame(hello), Buffer.from([0, 0, 0, 1, 0xff])]),
      1,
    ],
  ];
  for (const [code, bytes, hellos] of cases) {
    const frames = await sendRaw(address, Buffer.concat([bytes, call]));
    t.is(frames.length, hellos + 1, code);
    t.like(frames.at(-1), { type: "error", code });
  }
  t.is(handled, 0);

  const pool = openPool(t, "other token");
  const first = await pool.call(address, makeMessage(1), { timeoutMs: 5_000 });
  t.deepEqual(first, { type: "not_sent" });
  t.is(handled, 0);
});

test("guards against a connection without a hello that stays open", async (t) => {
  const { address } = await openServer(t, {}, { helloTimeoutMs: 20 });
  const frames = await sendRaw(address, Buffer.from([0, 0]));
  t.like(frames, [{ type: "error", code: "hello-timeout" }]);
});

test("guards against a truncated answer reported as not sent", async (t) => {
  const address = await openRawPeer(t, (socket, value) => {
    const answer = makeFrame({ ...makeMessage("half"), replyTo: value.id });
    socket.end(answer.subarray(0, answer.length - 2));
  });
  const pool = openPool(t);
  const result = await pool.call(address, makeMessage(1), { timeoutMs: 5_000 });
  t.deepEqual(result, { type: "lost" });
});

test("guards against not_sent reported for a call that was written", async (t) => {
  let received = 0;
  const address = await openRawPeer(t, (socket) => {
    received += 1;
    socket.destroy();
  });
  const pool = openPool(t);
  t.deepEqual(await pool.call(address, makeMessage(1), { timeoutMs: 5_000 }), {
    type: "lost",
  });
  t.is(received, 1);
  const wrong = { timeoutMs: 5_000, processId: "another" };
  t.deepEqual(await pool.call(address, makeMessage(1), wrong), {
    type: "not_sent",
  });
  t.is(received, 1);
  const closed = `127.0.0.1:${await claimPort()}`;
  const refused = await pool.call(closed, makeMessage(1), {
    timeoutMs: 5_000,
  });
  t.deepEqual(refused, { type: "not_sent" });
});

test("guards against a restarted or frozen peer that stays unreachable", async (t) => {
  const answerSame: PeerHandlers = {
    membership: (message) => Promise.resolve(message),
  };
  const port = await claimPort();
  const first = await openServer(t, answerSame, undefined, port);
  const { address } = first;
  const pool = openPool(t);
  const call = () => pool.call(address, makeMessage(1), { timeoutMs: 5_000 });
  t.like(await call(), { type: "answered" });
  await first.close();
  t.not((await call()).type, "answered");

  const frozen = createServer((socket) => socket.resume());
  frozen.listen(port, "127.0.0.1");
  await once(frozen, "listening");
  const connected = once(frozen, "connection");
  const other = openPool(t);
  const silent = other.call(address, makeMessage(1), { timeoutMs: 300 });
  await connected;
  t.deepEqual(await silent, { type: "not_sent" });
  other.close();
  frozen.close();
  await once(frozen, "close");

  await openServer(t, answerSame, undefined, port);
  while ((await call()).type !== "answered") {
    await new Promise((resolve) => setImmediate(resolve));
  }
  t.pass();
});

test("guards against a late answer delivered to a later call", async (t) => {
  const seen: Record<string, unknown>[] = [];
  const address = await openRawPeer(t, (socket, value) => {
    if (value.type !== "membership") return;
    if (value.message === "open") {
      socket.write(makeFrame({ ...makeMessage("open"), replyTo: value.id }));
      return;
    }
    seen.push(value);
    if (seen.length < 2) return;
    for (const { id, message } of seen) {
      socket.write(makeFrame({ ...makeMessage(message), replyTo: id }));
    }
  });
  const pool = openPool(t);
  // Opens the connection first, so that it does not use up the short timeout.
  const open = await pool.call(address, makeMessage("open"), {
    timeoutMs: 5_000,
  });
  t.like(open, { type: "answered" });
  const first = await pool.call(address, makeMessage("one"), { timeoutMs: 30 });
  t.deepEqual(first, { type: "lost" });
  const second = await pool.call(address, makeMessage("two"), {
    timeoutMs: 5_000,
  });
  t.like(second, { type: "answered", message: makeMessage("two") });
});

test("guards against answers mixed up among concurrent calls", async (t) => {
  const waiting: (() => void)[] = [];
  const { address } = await openServer(t, {
    // Answers the calls in reverse order once all have arrived.
    membership: (message) =>
      new Promise((resolve) => {
        waiting.push(() => resolve(message));
        if (waiting.length < 1_000) return;
        waiting.reverse().forEach((answer) => answer());
      }),
  });
  const pool = openPool(t);
  const results = await Promise.all(
    Array.from(
      { length: 1_000 },
      (_, i) =>
        pool.call(address, makeMessage({ i, pad: "x".repeat(i) }), {
          timeoutMs: 30_000,
        }),
    ),
  );
  results.forEach((result, i) =>
    t.like(result, { type: "answered", message: { message: { i } } })
  );
});

test("guards against a cancelled call that keeps running at the peer", async (t) => {
  const cancel = new AbortController();
  let aborted = () => {};
  const isAborted = new Promise<void>((resolve) => aborted = resolve);
  const { address } = await openServer(t, {
    membership: (_message, { signal, peer }) => {
      t.is(peer.processId, "pool");
      signal.addEventListener("abort", () => aborted());
      cancel.abort();
      return new Promise(() => {});
    },
  });
  const pool = openPool(t);
  const options = { timeoutMs: 30_000, signal: cancel.signal };
  const result = await pool.call(address, makeMessage(1), options);
  t.deepEqual(result, { type: "cancelled", sent: true });
  await isAborted;
  t.deepEqual(await pool.call(address, makeMessage(1), options), {
    type: "cancelled",
    sent: false,
  });
});

test("guards against notifications lost before the connection opens", async (t) => {
  let notified = (_message: PeerMessage) => {};
  const message = new Promise<PeerMessage>((resolve) => notified = resolve);
  const { address } = await openServer(t, {
    handover: (received) => {
      notified(received);
      return Promise.resolve(undefined);
    },
  });
  const sent = { type: "handover", resource: "links/a/b", fence: 5 } as const;
  openPool(t).notify(address, sent);
  t.deepEqual(await message, sent);
});

// The call's timer expires while the answer is in the socket but not yet read.
test.serial("guards against a call reported as lost because the caller's event loop was busy", async (t) => {
  const timeoutMs = 500;
  const endAtMs = performance.now() + timeoutMs + 50;
  const address = await openRawPeer(t, (socket, value) => {
    const message = makeMessage("whole");
    socket.write(makeFrame({ ...message, replyTo: value.id }));
    setImmediate(() => {
      while (performance.now() < endAtMs);
    });
  });
  const pool = openPool(t);
  const result = await pool.call(address, makeMessage("a"), { timeoutMs });
  t.is(result.type, "answered");
});
