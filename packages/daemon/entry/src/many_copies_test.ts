import type { Socket } from "node:net";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { ExecutionContext } from "ava";
import test from "ava";
import {
  buildAnswer,
  buildRefusal,
  startOwner,
  startRawServer,
} from "./group_owner_fixture.ts";

const SERVERS = 4;
const CALLERS = 6;
const CALLS = 40;

/** Share of the requests that a server refuses, and of the answers with which
 * it writes its last refusal on the connection again. */
const REFUSED_SHARE = 0.3;
const COPIED_SHARE = 0.4;

/** Time in milliseconds that a request may take. A slot is held as long after
 * an answer that is not believed. */
const DEADLINE_MS = 400;

/** Run time of a request in milliseconds. */
const RUN_MS = 4;

/** Ways to write an answer and the copy of an earlier refusal. */
const WRITERS: readonly ((
  socket: Socket,
  answer: string,
  copy: string,
) => void)[] = [
  (socket, answer, copy) => socket.write(copy + answer),
  (socket, answer, copy) => socket.write(answer + copy),
  // While the request runs, before its answer.
  (socket, answer, copy) => {
    socket.write(copy);
    setTimeout(() => socket.write(answer), RUN_MS);
  },
  // While the connection is idle, or carries the next request.
  (socket, answer, copy) => {
    socket.write(answer);
    setTimeout(() => socket.write(copy), 1);
  },
];

interface CopyCase {
  readonly seed: number;
  readonly withId: boolean;
}

/** Starts servers that refuse some requests, and later repeat the refusals on
 * the same connection. Returns the number of runs of each request. */
async function startServers(t: ExecutionContext, { seed, withId }: CopyCase) {
  const generator = xoroshiro128plus(seed);
  const random = () => (generator.next() >>> 0) / 2 ** 32;
  const runs = new Map<string, number>();
  const servers: string[] = [];
  let copies = 0;
  for (let number = 0; number < SERVERS; number++) {
    const refusals = new Map<Socket, string>();
    const address = await startRawServer(t, ({ requestId, socket }) => {
      if (random() < REFUSED_SHARE) {
        refusals.set(socket, buildRefusal(withId ? requestId : undefined));
        socket.write(buildRefusal(requestId));
        return;
      }
      runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
      const answer = buildAnswer(requestId);
      const copy = refusals.get(socket);
      if (copy === undefined || random() >= COPIED_SHARE) {
        setTimeout(() => socket.write(answer), RUN_MS);
        return;
      }
      copies += 1;
      const writer = WRITERS[Math.floor(random() * WRITERS.length)]!;
      setTimeout(() => writer(socket, answer, copy), RUN_MS);
    });
    servers.push(address);
  }
  return { servers, runs, countCopies: () => copies };
}

// A refusal promises that its request has not run and never will. A copy of an
// earlier one says nothing about the request that is under way.
for (const withId of [true, false]) {
  for (const seed of [1, 2]) {
    test.serial(`guards against copies of refusals that count for later requests, with their ids ${withId}, seed ${seed}`, async (t) => {
      const { servers, runs, countCopies } = await startServers(t, {
        seed,
        withId,
      });
      const { execute } = startOwner(t, {
        servers,
        deadlineMs: DEADLINE_MS,
      });
      const refused: string[] = [];
      const callAll = async (caller: number) => {
        for (let call = 0; call < CALLS; call++) {
          const id = `q${caller}-${call}`;
          const { type } = await execute(id);
          if (type === "not-run") refused.push(id);
        }
      };
      await Promise.all(
        Array.from({ length: CALLERS }, (_, caller) => callAll(caller)),
      );
      const twice = [...runs].filter(([, count]) => count > 1);
      t.log({
        copies: countCopies(),
        refused: refused.length,
        twice: twice.length,
      });
      t.true(countCopies() > 10);
      t.deepEqual(refused.filter((id) => runs.has(id)), []);
      t.deepEqual(twice, []);
    });
  }
}
