import { connect } from "node:net";
import type { Socket } from "node:net";
import test from "ava";
import type { ExecutionContext } from "ava";
import type { ForwardRequest } from "./forward_types.ts";
import { startFront } from "./front_fixture.ts";

const LARGE_BYTES = 600_000;

/** Room for one large body, not for two. */
const MAX_LARGE_BYTES = 1_000_000;

const SMALL_BODIES = 20;

/** Id of a request that the forwarder fails on. */
const BROKEN_ID = "broken";

const LONG_WAIT_MS = 60_000;
const SHORT_WAIT_MS = 400;

interface SendOptions {
  readonly id: string;
  readonly head: string;
  readonly waitMs?: number;
}

/** Starts a front whose requests wait for the test to answer them. */
async function startHeldFront(t: ExecutionContext) {
  const forwarded = new Map<string, { request: ForwardRequest; end(): void }>();
  let notify = () => {};
  const { address } = await startFront(t, {
    forward: (request) =>
      new Promise((resolve) => {
        const end = () =>
          resolve({
            outcome: {
              type: "answered",
              status: 200,
              headers: {},
              body: new Uint8Array(),
            },
            sends: [],
          });
        if (request.requestId === BROKEN_ID) throw new Error("Broken");
        forwarded.set(request.requestId, { request, end });
        notify();
      }),
  }, {
    route: { timeoutMs: LONG_WAIT_MS },
    limits: { maxBodyBytes: LARGE_BYTES },
    maxLargeBytes: MAX_LARGE_BYTES,
  });
  const waitForForward = async (id: string) => {
    while (!forwarded.has(id)) {
      await new Promise<void>((resolve) => notify = resolve);
    }
    return forwarded.get(id)!;
  };
  /** Sends a head; resolves `answer` to all bytes of the answer. */
  const send = ({ id, head, waitMs = LONG_WAIT_MS }: SendOptions) => {
    const socket = connect(address.port, address.host);
    socket.on("error", () => {});
    t.teardown(() => socket.destroy());
    socket.write(
      "POST /a/x HTTP/1.1\r\nhost: desk.example\r\n" +
        `dotterelmoor-request-id: ${id}\r\n` +
        `dotterelmoor-deadline-ms: ${waitMs}\r\n${head}\r\n\r\n`,
    );
    let text = "";
    const answer = new Promise<string>((resolve) => {
      socket.on("data", (chunk) => {
        text += chunk;
        if (text.includes("\r\n\r\n")) resolve(text);
      });
    });
    return { socket, answer };
  };
  const sendLarge = (id: string, waitMs?: number) => {
    const head = `content-length: ${LARGE_BYTES}`;
    const sent = send({
      id,
      head,
      ...(waitMs === undefined ? {} : { waitMs }),
    });
    sent.socket.write(buildLarge(id));
    return sent;
  };
  return { forwarded, waitForForward, send, sendLarge };
}

function buildLarge(id: string): Buffer {
  return Buffer.alloc(LARGE_BYTES, `${id} `);
}

function joinBody({ body }: ForwardRequest): Buffer {
  return Buffer.concat(body instanceof Uint8Array ? [body] : body);
}

function sendChunk(socket: Socket, chunk: Buffer): void {
  socket.write(`${chunk.length.toString(16)}\r\n`);
  socket.write(chunk);
  socket.write("\r\n");
}

/** Waits until the kernel has taken all that was written to a socket. */
function waitForWrites(socket: Socket): Promise<void> {
  return new Promise((resolve) => socket.write("", () => resolve()));
}

/** Sends small bodies one after the other. They pass a large one that waits, and
 * the front has read by then what it reads of that one. */
async function passSmallBodies(
  t: ExecutionContext,
  { send, waitForForward }: Awaited<ReturnType<typeof startHeldFront>>,
): Promise<void> {
  for (let index = 0; index < SMALL_BODIES; index++) {
    const id = `s${index}`;
    const isChunked = index % 2 === 0;
    const { socket, answer } = send({
      id,
      head: isChunked ? "transfer-encoding: chunked" : "content-length: 5",
    });
    if (isChunked) sendChunk(socket, Buffer.from("small"));
    socket.write(isChunked ? "0\r\n\r\n" : "small");
    const { request, end } = await waitForForward(id);
    t.is(joinBody(request).toString(), "small");
    end();
    t.regex(await answer, /^HTTP\/1\.1 200 /);
  }
}

test("guards against large bodies that are read together, or hold up small ones", async (t) => {
  const front = await startHeldFront(t);
  const { forwarded, waitForForward, sendLarge } = front;
  const first = sendLarge("q1");
  const held = await waitForForward("q1");
  const second = sendLarge("q2");
  await waitForWrites(second.socket);
  await passSmallBodies(t, front);
  t.false(forwarded.has("q2"));
  held.end();
  t.regex(await first.answer, /^HTTP\/1\.1 200 /);
  const { request, end } = await waitForForward("q2");
  t.true(joinBody(request).equals(buildLarge("q2")));
  end();
  t.regex(await second.answer, /^HTTP\/1\.1 200 /);
});

test("guards against a body without room whose caller is left without an answer", async (t) => {
  const { forwarded, waitForForward, sendLarge } = await startHeldFront(t);
  sendLarge("q1");
  await waitForForward("q1");
  const answer = await sendLarge("q2", SHORT_WAIT_MS).answer;
  t.regex(answer, /^HTTP\/1\.1 503 /);
  t.regex(answer, /\r\nretry-after: 1\.000\r\n/i);
  t.true(answer.endsWith("\r\n\r\nno-memory\n"));
  t.false(forwarded.has("q2"));
});

// A caller that announces a body and sends none would keep the room for ever.
test("guards against a body that never ends and keeps the room of others", async (t) => {
  const { forwarded, waitForForward, send, sendLarge } = await startHeldFront(
    t,
  );
  const head = `content-length: ${LARGE_BYTES}`;
  const silent = send({ id: "q1", head, waitMs: SHORT_WAIT_MS });
  silent.socket.write(Buffer.alloc(100_000));
  sendLarge("q2");
  await waitForForward("q2");
  const answer = await silent.answer;
  t.regex(answer, /^HTTP\/1\.1 503 /);
  t.true(answer.endsWith("\r\n\r\ntoo-late\n"));
  t.false(forwarded.has("q1"));
});

test("guards against a chunked body that is cut, or that passes over the room of others", async (t) => {
  const front = await startHeldFront(t);
  const { forwarded, waitForForward, send, sendLarge } = front;
  sendLarge("q1");
  const held = await waitForForward("q1");
  const chunked = send({ id: "q2", head: "transfer-encoding: chunked" });
  const body = buildLarge("q2");
  const ends = [0, 1, 20_000, 320_000, LARGE_BYTES];
  ends.slice(1).forEach((end, index) =>
    sendChunk(chunked.socket, body.subarray(ends[index], end))
  );
  chunked.socket.write("0\r\n\r\n");
  await waitForWrites(chunked.socket);
  await passSmallBodies(t, front);
  t.false(forwarded.has("q2"));
  held.end();
  const { request } = await waitForForward("q2");
  t.true(joinBody(request).equals(body));
});

test("guards against a failed request that keeps the room of its body", async (t) => {
  const { waitForForward, sendLarge } = await startHeldFront(t);
  t.regex(await sendLarge(BROKEN_ID).answer, /^HTTP\/1\.1 502 /);
  sendLarge("q2");
  const { request } = await waitForForward("q2");
  t.true(joinBody(request).equals(buildLarge("q2")));
});
