import test from "ava";
import {
  buildAnswer,
  buildRefusal,
  startOwner,
  startRawServer,
} from "./group_owner_fixture.ts";

// The server runs the request at its second attempt, and writes the refusal of
// the first one again, if both came on the same connection.
test("guards against a request that ran and is reported as not run after the copy of its own earlier refusal", async (t) => {
  let attempts = 0;
  let runs = 0;
  const address = await startRawServer(t, ({ requestId, count, socket }) => {
    attempts += 1;
    if (attempts === 1) return void socket.write(buildRefusal(requestId));
    runs += 1;
    const copy = count === 0 ? "" : buildRefusal(requestId);
    socket.write(copy + buildAnswer(requestId));
  });
  const { execute } = startOwner(t, { servers: [address] });
  t.like(await execute("r1"), { type: "not-run" });
  const second = await execute("r1");
  t.is(runs, 1);
  t.not(second.type, "not-run");
});
