import { once } from "node:events";
import { connect } from "node:net";
import test from "ava";
import { startFront } from "./front_fixture.ts";
import { createKeepingForwarder } from "./keeping_forwarder_fixture.ts";

const CODINGS: Readonly<Record<string, string>> = {
  "another coding before the chunks": "gzip, chunked",
  "no name": "",
  "no coding by name": "identity",
};

const HEAD = "host: desk.example\r\ndotterelmoor-request-id: ";

/** A body that the parser takes for a request if it finds no framing. */
const HIDDEN = `GET /a/hidden HTTP/1.1\r\n${HEAD}hidden\r\n\r\n`;

// The server got the coded bytes without the coding, or what stood where the
// body is due was run as a request of its own.
for (const [name, coding] of Object.entries(CODINGS)) {
  for (
    const hidden of [
      HIDDEN,
      `${HIDDEN.length.toString(16)}\r\n${HIDDEN}\r\n0\r\n\r\n`,
    ]
  ) {
    test(`guards against a body in a transfer coding that is not read: ${name}, ${hidden.length} bytes`, async (t) => {
      const forwarder = createKeepingForwarder();
      const { address } = await startFront(t, forwarder);
      const socket = connect(address);
      t.teardown(() => socket.destroy());
      let answer = "";
      socket.on("data", (chunk) => answer += chunk);
      socket.write(
        `POST /a/x HTTP/1.1\r\n${HEAD}q1\r\n` +
          `transfer-encoding: ${coding}\r\n\r\n${hidden}`,
      );
      await once(socket, "end");
      // The parser may find the body invalid before the answer to the head.
      t.regex(answer, /^HTTP\/1.1 (400|501) /);
      t.is(answer.match(/HTTP\/1.1/g)?.length, 1);
      t.deepEqual(forwarder.forwarded, []);
    });
  }
}

/** Header lines that leave open where the body ends. */
const LENGTHS: Readonly<Record<string, string>> = {
  "two lengths": "content-length: 2\r\ncontent-length: 2",
  "two different lengths": "content-length: 2\r\ncontent-length: 3",
  "a list of lengths": "content-length: 2, 2",
  "a signed length": "content-length: +2",
  "a length in hexadecimal digits": "content-length: 0x2",
  "a length above any": "content-length: 99999999999999999999",
  "an empty length": "content-length:",
  "a length beside chunks": "content-length: 2\r\ntransfer-encoding: chunked",
  "chunks beside a length": "transfer-encoding: chunked\r\ncontent-length: 2",
  "chunks twice": "transfer-encoding: chunked\r\ntransfer-encoding: chunked",
  "chunks and a tab": "transfer-encoding: chunked\t",
};

// What follows the head could be run as a request of its own.
for (const [name, lines] of Object.entries(LENGTHS)) {
  test(`guards against a request whose body has no certain end: ${name}`, async (t) => {
    const forwarder = createKeepingForwarder();
    const { address } = await startFront(t, forwarder);
    const socket = connect(address);
    t.teardown(() => socket.destroy());
    let answer = "";
    socket.on("data", (chunk) => answer += chunk);
    socket.write(
      `POST /a/x HTTP/1.1\r\n${HEAD}q1\r\n${lines}\r\n\r\n${HIDDEN}`,
    );
    await once(socket, "end");
    t.deepEqual(answer.match(/HTTP\/1.1 \d+/g), ["HTTP/1.1 400"]);
    t.deepEqual(forwarder.forwarded, []);
  });
}
