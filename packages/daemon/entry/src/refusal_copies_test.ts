import test from "ava";
import type { ExecutionContext } from "ava";
import {
  buildAnswer,
  buildRefusal,
  listServers,
  startOwner,
  startRawServer,
} from "./group_owner_fixture.ts";

interface CopyCase {
  /** Whether the server repeats the ids of requests in its answers. */
  readonly echoes: boolean;
  /** Id in the copy of the first refusal. */
  readonly copiedId?: string;
}

/** Runs two requests. The server refuses the first one; once it has started
 * the second one it writes the refusal again, and then the answer, if both are
 * due on the same connection. */
async function runAfterRefusal(t: ExecutionContext, options: CopyCase) {
  const { echoes, copiedId } = options;
  const runs: string[] = [];
  const address = await startRawServer(t, ({ requestId, count, socket }) => {
    const id = echoes ? requestId : undefined;
    if (requestId === "r1") return void socket.write(buildRefusal(id));
    runs.push(requestId);
    const copy = count === 0 ? "" : buildRefusal(copiedId);
    socket.write(copy + buildAnswer(id));
  });
  const { execute } = startOwner(t, { servers: [address] });
  const first = await execute("r1");
  t.like(first, { type: "not-run", reason: "server-refused" });
  return { second: await execute("r2"), runs };
}

// The server writes the copy where the answer to the second request is due.
for (const copiedId of ["r1", undefined]) {
  test(`guards against a request that ran and is reported as not run after the copy of an earlier refusal, with the id ${copiedId}`, async (t) => {
    const { second, runs } = await runAfterRefusal(t, {
      echoes: true,
      copiedId,
    });
    t.deepEqual(runs, ["r2"]);
    t.deepEqual(second, { type: "unknown", reason: "incomplete-answer" });
  });
}

// A connection whose answer had no id is not used again, so that servers that
// repeat no ids can be used, and a copy has no later answer to replace.
test("guards against a request that ran and is reported as not run if servers repeat no ids", async (t) => {
  const { second, runs } = await runAfterRefusal(t, { echoes: false });
  t.deepEqual(runs, ["r2"]);
  t.like(second, { type: "answered", status: 200 });
});

// The first server runs `r2` and writes the refusal of `r1` again; another server
// is free by then.
test("guards against a non-repeatable request that runs twice after the copy of an earlier refusal", async (t) => {
  const runs: string[] = [];
  const run = (requestId: string) => {
    runs.push(requestId);
    return buildAnswer(requestId);
  };
  const other = await startRawServer(
    t,
    ({ requestId, socket }) => void socket.write(run(requestId)),
  );
  const copying = await startRawServer(t, ({ requestId, socket }) => {
    if (requestId === "r1") return void socket.write(buildRefusal("r1"));
    listServers(owner, [copying, other]);
    socket.write(buildRefusal("r1") + run(requestId));
  });
  const { owner, execute } = startOwner(t, { servers: [copying] });
  t.like(await execute("r1"), { type: "not-run" });
  await execute("r2");
  t.deepEqual(runs, ["r2"]);
});
