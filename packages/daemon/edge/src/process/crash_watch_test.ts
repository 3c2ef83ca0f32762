import test from "ava";
import type { ListenState } from "@dotterelmoor/network.backend";
import { buildServer } from "../edge_fixture.ts";
import { createCrashWatch } from "./crash_watch.ts";

/** Wait in milliseconds that is longer than the delay of a check. */
const CHECKED_MS = 120;

const wait = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

function setUp(state: ListenState, isServing = true) {
  const crashes: string[] = [];
  let checks = 0;
  const watch = createCrashWatch({
    checkListening: () => {
      checks += 1;
      return Promise.resolve(state);
    },
    isServing: () => isServing,
    onCrash: ({ server: { id, bornMs }, fingerprints, isFirst }) => {
      const name = `${id}/${bornMs} ${fingerprints.join(" ")}`;
      crashes.push(isFirst ? name : `${name}, later`);
    },
  });
  const server = buildServer("s1", "127.0.0.1:9");
  const lose = (
    fingerprint: string,
    of = server,
    startedAtMs = performance.now() - 1_000,
  ) => watch.recordEnd({ server: of, fingerprint, startedAtMs }, "lost");
  return { watch, server, crashes, lose, countChecks: () => checks };
}

test("guards against a crash that names only some of the lost requests", async (t) => {
  const { crashes, lose, countChecks } = setUp("refuses");
  lose("a");
  lose("b");
  lose("a");
  await wait(CHECKED_MS);
  // The loss is noticed after the crash was detected.
  lose("c");
  t.deepEqual(crashes, ["s1/1 a b", "s1/1 c, later"]);
  t.is(countChecks(), 1);
});

test("guards against reset connections that count as a crash", async (t) => {
  const { crashes, lose } = setUp("accepts");
  lose("a");
  await wait(CHECKED_MS);
  lose("a");
  await wait(CHECKED_MS);
  t.deepEqual(crashes, []);
});

test("guards against a cut link or a zone without power that counts as a crash", async (t) => {
  const { crashes, lose } = setUp("silent");
  lose("a");
  await wait(CHECKED_MS);
  t.deepEqual(crashes, []);
});

// An overloaded server resets connections above its limit and still answers on
// the others.
test("guards against a server that still answers and counts as crashed", async (t) => {
  const { watch, server, crashes, lose } = setUp("refuses");
  lose("a");
  watch.recordEnd({ server, fingerprint: "b", startedAtMs: 0 }, "refused");
  await wait(CHECKED_MS);
  t.deepEqual(crashes, []);
});

test("guards against a leaving server that counts as crashed when it ends", async (t) => {
  const { crashes, lose, countChecks } = setUp("refuses", false);
  lose("a");
  await wait(CHECKED_MS);
  t.deepEqual(crashes, []);
  t.is(countChecks(), 0);
});

// A restarted server has the same id and another start time.
test("guards against two crashes of one server that count as one", async (t) => {
  const { server, crashes, lose } = setUp("refuses");
  lose("a");
  await wait(CHECKED_MS);
  lose("a", { ...server, bornMs: 2 });
  await wait(CHECKED_MS);
  t.deepEqual(crashes, ["s1/1 a", "s1/2 a"]);
});

// The caller of the crashing request may disconnect before the server ends.
test("guards against a crash that omits a request which was given up just before", async (t) => {
  const { watch, server, crashes, lose } = setUp("refuses");
  watch.recordEnd(
    { server, fingerprint: "left", startedAtMs: 0 },
    "given_up",
  );
  lose("a");
  await wait(CHECKED_MS);
  t.deepEqual(crashes, ["s1/1 a left"]);
});

// A server may restart under its old id before its record is updated.
test("guards against a second crash that counts as part of the first one", async (t) => {
  const { server, crashes, lose } = setUp("refuses");
  lose("a");
  await wait(CHECKED_MS);
  lose("a", server, performance.now());
  await wait(CHECKED_MS);
  t.deepEqual(crashes, ["s1/1 a", "s1/2 a"]);
});
