import { connect } from "node:net";
import test from "ava";
import type { ExecutionContext } from "ava";
import type { ForwardRequest } from "./forward_types.ts";
import { startFront } from "./front_fixture.ts";
import { createKeepingForwarder } from "./keeping_forwarder_fixture.ts";

const MAX_HEADER_BYTES = 16_384;
const BODY = "slot=4&station=7";

/** More lines than Node.js keeps by default. */
const LINES = 2_000;

/** Header lines and what is sent behind the head, by the form of the body. */
const FORMS: Readonly<Record<string, { lines: string[]; sent: string }>> = {
  "a length": { lines: [`content-length: ${BODY.length}`], sent: BODY },
  chunks: {
    lines: ["transfer-encoding: chunked"],
    sent: `${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\n\r\n`,
  },
  "a length and an expectation": {
    lines: ["expect: 100-continue", `content-length: ${BODY.length}`],
    sent: BODY,
  },
};

function buildLines(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${index}: 1`);
}

/** Starts a front that keeps what it forwards, and answers each request. */
async function startKeepingFront(t: ExecutionContext) {
  const forwarder = createKeepingForwarder();
  const { address } = await startFront(t, forwarder, {
    limits: { maxHeaderBytes: MAX_HEADER_BYTES },
  });
  /** Sends a request; resolves to the status of its final answer. */
  const send = (lines: readonly string[], sent = "") =>
    new Promise<number>((resolve, reject) => {
      const socket = connect(address);
      let text = "";
      socket.on("data", (chunk) => {
        text += chunk;
        const final = /HTTP\/1.1 ([2-5]\d\d)/.exec(text);
        if (final === null) return;
        resolve(Number(final[1]));
        socket.destroy();
      });
      socket.on("error", reject);
      socket.on("close", () => reject(new Error("Closed without an answer")));
      const head = ["POST /a/x HTTP/1.1", ...lines].join("\r\n");
      socket.write(`${head}\r\n\r\n${sent}`);
    });
  return { forwarded: forwarder.forwarded, send };
}

function readBody({ body }: ForwardRequest): string {
  return Buffer.concat(body instanceof Uint8Array ? [body] : body).toString();
}

const CONTROL = ["host: desk.example", "dotterelmoor-request-id: q1"];

// Node.js drops the header lines behind a number of them, the length of the
// body among them, and servers ran such requests with an empty body.
for (const [form, { lines, sent }] of Object.entries(FORMS)) {
  test(`guards against forwarding a request with many header lines without its body, sent with ${form}`, async (t) => {
    const { forwarded, send } = await startKeepingFront(t);
    const fillers = buildLines(LINES);
    t.is(await send([...CONTROL, ...fillers, ...lines], sent), 200);
    const [request] = forwarded;
    t.is(readBody(request!), BODY);
    for (let index = 0; index < LINES; index++) {
      t.is(request!.headers[`${index}`], "1");
    }
  });
}

// What stood behind the kept lines was not read, so the request was refused
// with 400, or sent on with another time budget.
test("guards against a request whose host, id and time budget behind many header lines are not read", async (t) => {
  const { forwarded, send } = await startKeepingFront(t);
  const deadline = "dotterelmoor-deadline-ms: 345";
  const lines = [...buildLines(LINES), ...CONTROL, deadline];
  t.is(await send(lines), 200);
  const [request] = forwarded;
  t.is(request!.requestId, "q1");
  t.is(Math.round(request!.deadlineAtMs - request!.arrivedAtMs), 345);
});

// A head of which lines were dropped looked as if it were within the limit.
test("guards against forwarding a part of a head that is over the limit", async (t) => {
  const { forwarded, send } = await startKeepingFront(t);
  const control = CONTROL.map((line) => line.replace(" ", ""));
  const shortest = (count: number) => Array.from({ length: count }, () => "a:");
  const controlBytes = control.join("\r\n").length + 2;
  const most = Math.floor((MAX_HEADER_BYTES - controlBytes) / 4);
  t.is(await send([...control, ...shortest(most)]), 200);
  t.is(forwarded.length, 1);
  for (const count of [most + 1, 5_000, 30_000, 60_000, 120_000]) {
    t.is(await send([...control, ...shortest(count)]), 431);
  }
  t.is(forwarded.length, 1);
});

// A space behind each colon was counted, also where there was none.
test("guards against refusing a head within the limit whose lines have no spaces", async (t) => {
  const { forwarded, send } = await startKeepingFront(t);
  const control = CONTROL.map((line) => line.replace(" ", ""));
  const controlBytes = control.join("\r\n").length + 2;
  const line = `x-a-header-line:`;
  const count = Math.floor(
    (MAX_HEADER_BYTES - controlBytes) / (line.length + 2),
  );
  const lines = Array.from({ length: count }, () => line);
  t.is(await send([...control, ...lines]), 200);
  t.is(forwarded.length, 1);
  t.is(await send([...control, ...lines, line]), 431);
  t.is(forwarded.length, 1);
});
