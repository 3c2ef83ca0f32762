import { connect } from "node:net";
import test from "ava";
import type { ExecutionContext } from "ava";
import type { ForwardRequest } from "./forward_types.ts";
import { startFront } from "./front_fixture.ts";

const MAX_HEADER_BYTES = 16_384;

/** Starts a front that keeps what it forwards, and answers each request. */
async function startKeepingFront(t: ExecutionContext) {
  const forwarded: ForwardRequest[] = [];
  const { address } = await startFront(t, {
    forward: (request) => {
      forwarded.push(request);
      const body = new Uint8Array();
      return Promise.resolve({
        outcome: { type: "answered", status: 200, headers: {}, body },
        sends: [],
      });
    },
  }, { limits: { maxHeaderBytes: MAX_HEADER_BYTES } });
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
  return { forwarded, send };
}

const CONTROL = ["host: desk.example", "dotterelmoor-request-id: q1"];

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
