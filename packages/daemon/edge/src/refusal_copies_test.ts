import type { Socket } from "node:net";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import test from "ava";
import type { ExecutionContext } from "ava";
import {
  buildDocument,
  buildRoute,
  buildServer,
  callEdge,
  createMemoryStore,
} from "./edge_fixture.ts";
import { buildRawAnswer, startRawServer } from "./raw_servers_fixture.ts";
import { startReadyEdge } from "./started_fixture.ts";

const SERVERS = 4;
const CALLERS = 8;
const CALLS = 60;

/** Share of the requests that a server refuses, and of the answers with which
 * it writes its last refusal on the connection again. */
const REFUSED_SHARE = 0.3;
const COPIED_SHARE = 0.4;

/** Run time of a request in milliseconds. */
const RUN_MS = 8;

function buildRefusal(requestId: string, withId: boolean): string {
  const id = withId ? `dotterelmoor-request-id: ${requestId}\r\n` : "";
  return `HTTP/1.1 503 Service Unavailable\r\n${id}` +
    "dotterelmoor-not-run: true\r\ncontent-length: 0\r\n\r\n";
}

/** Where the copy of an earlier refusal is written. */
type CopyPosition = "before" | "behind" | "early" | "idle" | "none";

/** Writes an answer and the copy of an earlier refusal. */
const WRITERS: Readonly<
  Record<CopyPosition, (socket: Socket, answer: string, copy: string) => void>
> = {
  before: (socket, answer, copy) => socket.write(copy + answer),
  behind: (socket, answer, copy) => socket.write(answer + copy),
  // While the request runs, before its answer.
  early: (socket, answer, copy) => {
    socket.write(copy);
    setTimeout(() => socket.write(answer), RUN_MS);
  },
  idle: (socket, answer, copy) => {
    socket.write(answer);
    setTimeout(() => socket.write(copy), 1);
  },
  none: (socket, answer) => socket.write(answer),
};

const COPY_POSITIONS = ["before", "behind", "early", "idle"] as const;

/** Starts servers that refuse some requests, and later repeat the refusals on
 * the same connection. Returns the number of runs of each request. */
async function startServers(
  t: ExecutionContext,
  { seed, withId }: { readonly seed: number; readonly withId: boolean },
) {
  const generator = xoroshiro128plus(seed);
  const random = () => (generator.next() >>> 0) / 2 ** 32;
  const store = createMemoryStore();
  const runs = new Map<string, number>();
  let copies = 0;
  for (let number = 0; number < SERVERS; number++) {
    const refusals = new Map<Socket, string>();
    const address = await startRawServer(t, ({ requestId, socket }) => {
      if (random() < REFUSED_SHARE) {
        refusals.set(socket, buildRefusal(requestId, withId));
        socket.write(buildRefusal(requestId, true));
        return;
      }
      runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
      const copy = refusals.get(socket);
      const isCopied = copy !== undefined && random() < COPIED_SHARE;
      const position: CopyPosition = isCopied
        ? COPY_POSITIONS[Math.floor(random() * COPY_POSITIONS.length)]!
        : "none";
      if (isCopied) copies += 1;
      const answer = buildRawAnswer(requestId, "length");
      setTimeout(() => WRITERS[position](socket, answer, copy ?? ""), RUN_MS);
    });
    const record = buildServer(`s${number}`, address, { slots: 8 });
    store.put("servers", record.id, { type: "server", record });
  }
  return { store, runs, countCopies: () => copies };
}

// A refusal guarantees that its request was not run and won't be. A copy of an
// earlier refusal says nothing about the request that is in progress.
for (const repeatable of [false, true]) {
  for (const withId of [true, false]) {
    for (const seed of [1, 2]) {
      test.serial(`guards against an earlier refusal that counts for a later request, repeatable ${repeatable}, with its id ${withId}, seed ${seed}`, async (t) => {
        const { store, runs, countCopies } = await startServers(t, {
          seed,
          withId,
        });
        const route = buildRoute({ repeatable, maxAttempts: 3 });
        const document = buildDocument(1, [route]);
        store.put("orders", "config", { type: "document", document });
        const first = await startReadyEdge(t, store, { instance: "n1" });
        const seeds = [`127.0.0.1:${first.settings.peers.port}`];
        const second = await startReadyEdge(t, store, {
          instance: "n2",
          seeds,
        });
        const edges = [first, second].map(({ settings }) => settings.callers);
        const refused: string[] = [];
        const callAll = async (caller: number) => {
          for (let call = 0; call < CALLS; call++) {
            const id = `q${caller}-${call}`;
            const edge = edges[(caller + call) % edges.length]!;
            const { status } = await callEdge(edge, { id, method: "POST" });
            if (status === 503) refused.push(id);
          }
        };
        await Promise.all(
          Array.from({ length: CALLERS }, (_, caller) => callAll(caller)),
        );
        t.log({ copies: countCopies(), refused: refused.length });
        t.true(countCopies() > 10);
        t.deepEqual(refused.filter((id) => runs.has(id)), []);
        const twice = [...runs].filter(([, count]) => count > 1);
        if (!repeatable) t.deepEqual(twice, []);
      });
    }
  }
}
