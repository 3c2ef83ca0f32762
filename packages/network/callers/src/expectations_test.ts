import { once } from "node:events";
import test from "ava";
import { connectCaller, startWatchedServer } from "./watched_server_fixture.ts";

function buildExpecting(path: string): string {
  return `POST ${path} HTTP/1.1\r\nhost: desk\r\nexpect: 100-continue\r\n` +
    "content-length: 2\r\nconnection: close\r\n\r\n";
}

// The caller would take a part of the interim response for the body, and the
// rest for the next answer.
test("guards against an interim response in the middle of the answer to a request in a pipeline", async (t) => {
  const server = await startWatchedServer(t);
  const { socket, received } = connectCaller(t, server.port, ["/first"]);
  socket.write(`${buildExpecting("/second")}ok`);
  await server.waitForRequests(2);
  server.responses.get("/second")!.end(Buffer.from("second"));
  server.responses.get("/first")!.end(Buffer.from("first"));
  const text = await received;
  t.regex(text, /\r\n\r\nfirstHTTP\/1.1 200 OK\r\n[^]*\r\n\r\nsecond$/);
  t.notRegex(text, /100 Continue/);
});

// The caller sends the body only after the interim response.
for (const earlier of [[], ["/first"]]) {
  test(`guards against a caller that waits for its interim response, requests before it: ${earlier.length}`, async (t) => {
    const server = await startWatchedServer(t);
    const { socket, received } = connectCaller(t, server.port, earlier);
    socket.write(buildExpecting("/second"));
    await server.waitForRequests(earlier.length + 1);
    server.responses.get("/first")?.end(Buffer.from("first"));
    let read = "";
    while (!read.includes("100 Continue")) {
      read += (await once(socket, "data"))[0];
    }
    socket.write("ok");
    server.responses.get("/second")!.end(Buffer.from("second"));
    const text = await received;
    t.regex(
      text,
      /HTTP\/1.1 100 Continue\r\n\r\nHTTP\/1.1 200 OK\r\n[^]*second$/,
    );
  });
}
