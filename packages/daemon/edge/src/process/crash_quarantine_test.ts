import test from "ava";
import { createCatalog } from "@dotterelmoor/core.catalog";
import { DisposableStore } from "@dotterelmoor/core.types";
import { Ok } from "ts-results-es";
import { buildServer } from "../edge_fixture.ts";
import type { CrashNoteChanges } from "../ports.ts";
import { createCrashQuarantine } from "./crash_quarantine.ts";
import { createEdgeLog } from "./logging.ts";
import { createEdgeMetrics } from "./metrics.ts";

const MINUTE_MS = 60_000;

function setUp() {
  const clock = { wallMs: 1_700_000_000_000 };
  const catalog = createCatalog({ zones: {} });
  const reported: CrashNoteChanges[] = [];
  const claims: string[] = [];
  const quarantine = createCrashQuarantine({
    instance: "n1",
    catalog,
    source: {
      claimTrial: ({ key }) => {
        claims.push(key);
        return Promise.resolve(Ok(true));
      },
    },
    reports: {
      report: (changes) => reported.push(changes),
      remember: () => {},
    },
    metrics: createEdgeMetrics({
      address: undefined,
      store: new DisposableStore(),
    }),
    log: createEdgeLog({ level: "silent", instance: "n1", region: "a" }),
    wallMs: () => clock.wallMs,
  });
  const crash = (id: string, fingerprints: readonly string[]) =>
    quarantine.recordCrash({
      server: buildServer(id, "x:1", { software: "v1" }),
      fingerprints,
      isFirst: true,
    });
  const classify = (fingerprint: string) =>
    quarantine.check(fingerprint, () => ["v1"]).type;
  return { quarantine, catalog, clock, reported, claims, crash, classify };
}

// A frequent request is in flight at each crash that another request causes.
test("guards against a frequent request that is blamed for the crashes of another one", (t) => {
  const { quarantine, crash, classify, reported } = setUp();
  const server = buildServer("s0", "x:1", { software: "v1" });
  for (const id of ["s1", "s2", "s3"]) {
    quarantine.recordEnd(
      { fingerprint: "hot", server },
      "answered",
    );
    crash(id, ["hot", "crash"]);
  }
  t.is(classify("crash"), "refuse");
  t.is(classify("hot"), "admit");
  const noted = reported.flatMap(({ notes }) => notes);
  t.deepEqual([...new Set(noted.map((note) => note.fingerprint))], ["crash"]);
});

test("guards against a request that stays suspected although it was answered", (t) => {
  const { quarantine, crash, classify, reported } = setUp();
  crash("s1", ["f"]);
  crash("s2", ["f"]);
  const server = buildServer("s0", "x:1", { software: "v1" });
  quarantine.recordEnd(
    { fingerprint: "f", server },
    "answered",
  );
  t.is(reported.at(-1)!.removedKeys.length, 2);
  crash("s3", ["f"]);
  t.is(classify("f"), "admit");
});

// The data that it concerns, or the service itself, may have changed since.
test("guards against a request that is never quarantined because it was answered once", (t) => {
  const { quarantine, crash, classify } = setUp();
  const server = buildServer("s0", "x:1", { software: "v1" });
  const real = performance.now;
  quarantine.recordEnd(
    { fingerprint: "f", server },
    "answered",
  );
  try {
    performance.now = () => real.call(performance) + 6_000;
    for (const id of ["s1", "s2", "s3"]) crash(id, ["f"]);
  } finally {
    performance.now = real;
  }
  t.is(classify("f"), "refuse");
});

// A refusal shows only that the request was not run.
test("guards against a refusal that clears a request of suspicion", (t) => {
  const { quarantine, crash, classify } = setUp();
  crash("s1", ["f"]);
  crash("s2", ["f"]);
  const server = buildServer("s0", "x:1", { software: "v1" });
  quarantine.recordEnd({ fingerprint: "f", server }, "refused");
  crash("s3", ["f"]);
  t.is(classify("f"), "refuse");
});

test("guards against trials that are early, repeated, or without a limit", async (t) => {
  const { quarantine, crash, classify, clock, claims } = setUp();
  for (const id of ["s1", "s2", "s3"]) crash(id, ["f"]);
  const server = buildServer("s4", "x:1", { software: "v1" });
  clock.wallMs += 9 * MINUTE_MS;
  t.is(classify("f"), "refuse");
  for (let trial = 0; trial < 5; trial++) {
    clock.wallMs += 11 * MINUTE_MS;
    if (classify("f") !== "trial") continue;
    t.true(
      await quarantine.claimTrial({ fingerprint: "f", server }),
    );
    t.is(classify("f"), "refuse");
  }
  t.deepEqual(claims, ["f/trial/1", "f/trial/2", "f/trial/3"]);
});

// The stored notes come with the first answer of the store or of an entry,
// which may be long after the start.
test("guards against a starting entry that admits requests before it knows the stored notes", (t) => {
  const { quarantine, catalog } = setUp();
  const real = performance.now;
  try {
    performance.now = () => real.call(performance) + 30_000;
    t.false(quarantine.isRestored);
  } finally {
    performance.now = real;
  }
  const update = { version: 7, isComplete: true, changes: [] };
  catalog.applyTable("crashes", update, 0);
  t.true(quarantine.isRestored);
});
