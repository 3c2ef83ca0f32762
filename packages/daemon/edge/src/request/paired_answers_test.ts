import { once } from "node:events";
import { connect } from "node:net";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import test from "ava";
import type { ForwardRequest, ForwardResult } from "./forward_types.ts";
import { waitUntil } from "../started_fixture.ts";
import { startFront } from "./front_fixture.ts";
import { promisesNotRun } from "./outcomes.ts";

const CONNECTIONS = 150;
const MAX_REQUESTS = 6;
const MAX_RUN_MS = 15;

/** Time in milliseconds in which a caller that left must be noticed. */
const LEFT_MS = 500;

/** Time in milliseconds in which a head must arrive. */
const HEADERS_MS = 40;

type Random = () => number;

/** Heads and bodies of requests, by kind; `{id}` stands for the id. */
const KINDS: Readonly<Record<string, string>> = {
  plain: "GET /a/{id} HTTP/1.1\r\nhost: desk.example\r\n{header}\r\n",
  head: "HEAD /a/{id} HTTP/1.1\r\nhost: desk.example\r\n{header}\r\n",
  length: "POST /a/{id} HTTP/1.1\r\nhost: desk.example\r\n{header}" +
    "content-length: 6\r\n\r\nb-{id}",
  chunked: "POST /a/{id} HTTP/1.1\r\nhost: desk.example\r\n{header}" +
    "transfer-encoding: chunked\r\n\r\n2\r\nb-\r\n4\r\n{id}\r\n0\r\n\r\n",
  expecting: "POST /a/{id} HTTP/1.1\r\nhost: desk.example\r\n{header}" +
    "expect: 100-continue\r\ncontent-length: 6\r\n\r\nb-{id}",
  hostless: "GET /a/{id} HTTP/1.1\r\n{header}\r\n",
  unrouted: "POST /x/{id} HTTP/1.1\r\nhost: desk.example\r\n{header}" +
    "content-length: 6\r\n\r\nb-{id}",
  upgrade: "GET /a/{id} HTTP/1.1\r\nhost: desk.example\r\n{header}" +
    "connection: upgrade\r\nupgrade: x\r\n\r\n",
  last: "GET /a/{id} HTTP/1.1\r\nhost: desk.example\r\n{header}" +
    "connection: close\r\n\r\n",
  large: "POST /a/{id} HTTP/1.1\r\nhost: desk.example\r\n{header}" +
    `content-length: 70000\r\n\r\n${"x".repeat(70_000)}`,
  badChunk: "POST /a/{id} HTTP/1.1\r\nhost: desk.example\r\n{header}" +
    "transfer-encoding: chunked\r\n\r\nzz\r\n",
};

/** What follows the requests of some connections. */
const ENDS = [
  "",
  "",
  "POST /a/late HTTP/1.1\r\nhost: desk",
  "\0\0\r\n\r\n",
  "CONNECT x:1 HTTP/1.1\r\nhost: x\r\n\r\n",
  "POST /a/part HTTP/1.1\r\nhost: desk.example\r\ncontent-length: 9\r\n\r\nb",
];

function pick<T>(random: Random, items: readonly T[]): T {
  return items[Math.floor(random() * items.length)]!;
}

/** A forwarder that runs some requests and refuses the others. */
function createRandomForwarder(random: Random) {
  const runs = new Map<string, number>();
  const bodies = new Map<string, string>();
  const forward = async (request: ForwardRequest): Promise<ForwardResult> => {
    const { requestId, body: sent } = request;
    const isRun = random() < 0.6;
    const parts = sent instanceof Uint8Array ? [sent] : sent;
    bodies.set(requestId, Buffer.concat(parts).toString());
    if (isRun) runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
    await new Promise((resolve) => setTimeout(resolve, random() * MAX_RUN_MS));
    if (!isRun) {
      const retryAfterMs = 100;
      const reason = "servers-refused";
      return { outcome: { type: "not-run", reason, retryAfterMs }, sends: [] };
    }
    const headers = { "dotterelmoor-request-id": requestId };
    const body = Buffer.from(`ran ${requestId}`);
    const outcome = { type: "answered", status: 200, headers, body } as const;
    return { outcome, sends: [] };
  };
  return { forward, runs, bodies };
}

interface SentRequest {
  readonly id: string;
  readonly kind: string;
}

interface ReadAnswer {
  readonly status: number;
  readonly id: string | undefined;
}

/** Reads the answers to requests in order. */
function readAnswers(
  received: string,
  sent: readonly SentRequest[],
): ReadAnswer[] {
  const answers: ReadAnswer[] = [];
  let rest = received;
  while (rest !== "") {
    const end = rest.indexOf("\r\n\r\n");
    if (end < 0) return answers;
    const head = rest.slice(0, end);
    rest = rest.slice(end + 4);
    const status = Number(/^HTTP\/1.1 (\d+)/.exec(head)?.[1] ?? Number.NaN);
    if (status === 100) continue;
    const isHead = sent[answers.length]?.kind === "head";
    const length = Number(/^content-length: (\d+)/im.exec(head)?.[1] ?? 0);
    if (!isHead) rest = rest.slice(length);
    const id = /^dotterelmoor-request-id: (.*)$/im.exec(head)?.[1];
    answers.push({ status, id });
  }
  return answers;
}

// Callers pipeline requests of all kinds, which arrive in pieces, and break
// their connections. Each answer must be that of the request in its place.
for (const leaves of [false, true]) {
  for (const seed of [1, 2]) {
    test.serial(`guards against an answer to another request of the connection, leaving ${leaves}, seed ${seed}`, async (t) => {
      const generator = xoroshiro128plus(seed);
      const random = () => (generator.next() >>> 0) / 2 ** 32;
      const { forward, runs, bodies } = createRandomForwarder(random);
      const { address, front } = await startFront(t, { forward }, {
        headersMs: HEADERS_MS,
        checkMs: 10,
      });
      const statuses: Record<string, number> = {};
      const untrue: unknown[] = [];
      const callOnce = async (number: number) => {
        const sent: SentRequest[] = [];
        let bytes = "";
        const count = 1 + Math.floor(random() * MAX_REQUESTS);
        for (let index = 0; index < count; index++) {
          const id = `${String(number).padStart(3, "0")}${index}`;
          const kind = pick(random, Object.keys(KINDS));
          const header = `dotterelmoor-request-id: ${id}\r\n`;
          bytes += KINDS[kind]!.replace("{header}", header)
            .replaceAll("{id}", id);
          sent.push({ id, kind });
        }
        bytes += pick(random, ENDS);
        const socket = connect(address);
        let received = "";
        socket.on("data", (chunk) => received += chunk.toString("latin1"));
        socket.on("error", () => {});
        const closed = once(socket, "close").catch(() => {});
        while (bytes !== "" && !socket.destroyed) {
          const size = random() < 0.3 ? bytes.length : random() * 200;
          socket.write(bytes.slice(0, Math.ceil(size)));
          bytes = bytes.slice(Math.ceil(size));
          if (random() < 0.4) await new Promise((end) => setTimeout(end, 2));
        }
        const leftMs = random() < 0.1 ? random() * 10 : 300;
        const timer = setTimeout(() => socket.destroy(), leftMs);
        await closed;
        clearTimeout(timer);
        readAnswers(received, sent).forEach(({ status, id }, index) => {
          statuses[status] = (statuses[status] ?? 0) + 1;
          const request = sent[index];
          if (request === undefined) return;
          const isOther = Number.isNaN(status) ||
            (id !== undefined && id !== request.id);
          const isUntrue = promisesNotRun(status) && runs.has(request.id);
          if (isOther || isUntrue) untrue.push({ request, status, id, sent });
        });
      };
      for (let number = 0; number < CONNECTIONS; number += 15) {
        // Long enough for requests that are taken and for refused ones.
        if (leaves && number === 60) front.startLeaving(3_000);
        await Promise.all(
          Array.from({ length: 15 }, (_, index) => callOnce(number + index)),
        );
      }
      t.log({ statuses, runs: runs.size });
      t.deepEqual(untrue, []);
      t.deepEqual([...runs].filter(([, count]) => count > 1), []);
      const wrong = [...bodies].filter(([id, body]) =>
        body !== "" && body !== `b-${id}`
      );
      t.deepEqual(wrong, []);
      t.true(runs.size > 50);
      // The last callers have closed at their side.
      await waitUntil(t, () => Promise.resolve(front.inFlight === 0), LEFT_MS);
    });
  }
}
