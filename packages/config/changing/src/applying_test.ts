import test from "ava";
import fc from "fast-check";
import type { ConfigurationSnapshot } from "@dotterelmoor/core.types";
import {
  applyChange,
  buildDrain,
  buildLeaseRelease,
  buildSnapshot,
  buildSubmission,
  buildUndrain,
  describeDifferences,
  getRowValue,
  getSequence,
  loadSnapshot,
  makeDocumentKey,
  makeDrainKey,
  makeGroupKey,
  resolveSubmission,
} from "./mod.ts";
import type { AuditRowValue, ChangeRows, DocumentRowValue } from "./mod.ts";
import { MemoryTable } from "./memory_table_test.ts";
import type { Fault } from "./memory_table_test.ts";

const SEED = 20_261_204;

function makeOrigin(changeId: string) {
  return { changeId, who: `author of ${changeId}`, why: "test", whenMs: 1_000 };
}

function makeTable(
  faults: Fault[] = [],
  wait = () => Promise.resolve<unknown>(0),
) {
  const snapshots = new Map<number, ConfigurationSnapshot>();
  const table: MemoryTable = new MemoryTable({
    takeFault: () => faults.shift() ?? "none",
    wait,
    onCommit: () => {
      const snapshot = readSnapshot(table);
      snapshots.set(snapshot.sequence, snapshot);
    },
  });
  snapshots.set(0, readSnapshot(table));
  return { table, snapshots };
}

function readSnapshot(table: MemoryTable): ConfigurationSnapshot {
  return buildSnapshot({
    current: table.rows.get("config/current") ??
      { key: "config/current", version: 0, value: null },
    documents: table.listNow("documents/"),
    drains: table.listNow("drains/"),
  }).unwrap();
}

interface Submission {
  readonly team: string;
  readonly changeId: string;
  readonly editedFrom: number;
}

function submit(table: MemoryTable, submission: Submission) {
  const { team, changeId } = submission;
  return applyChange(table, {
    changeId,
    targetKey: makeDocumentKey(team),
    build: (rows) =>
      buildSubmission({
        ...makeOrigin(changeId),
        ...submission,
        rows,
        text: `text of ${changeId}`,
        document: { team, services: [] },
      }),
  });
}

function drain(table: MemoryTable, changeId: string, build = buildDrain) {
  return applyChange(table, {
    changeId,
    targetKey: makeDrainKey("server-1"),
    build: (rows) =>
      build({ ...makeOrigin(changeId), rows, instance: "server-1" }),
  });
}

function listAudit(table: MemoryTable): AuditRowValue[] {
  return table.listNow("audit/").map((row) => getRowValue<AuditRowValue>(row)!);
}

const operation = fc.record({
  team: fc.constantFrom("alpha", "beta"),
  id: fc.integer({ min: 0, max: 4 }),
  kind: fc.constantFrom("submit", "submit", "drain", "undrain"),
});
const fault = fc.constantFrom<Fault>(
  "none",
  "none",
  "answer-lost",
  "down",
  "late",
);

// Concurrent changes race on a table that loses responses and delays commits;
// every outcome that is reported must match the audit rows.
test("guards against changes that are lost, applied twice or out of sequence", async (t) => {
  await fc.assert(
    fc.asyncProperty(
      fc.scheduler(),
      fc.array(operation, { minLength: 2, maxLength: 10 }),
      fc.array(fault, { maxLength: 16 }),
      async (scheduler, operations, faults) => {
        const { table, snapshots } = makeTable(
          faults,
          () => scheduler.schedule(Promise.resolve()),
        );
        const submissions = new Map<string, Submission>();
        const run = async (
          { team, id, kind }: typeof operations[number],
          index: number,
        ) => {
          // Each undrain has its own id: the first use of a shared id could
          // be refused because the drain is absent, and the second committed.
          const suffix = kind === "undrain" ? `-${index}` : "";
          const changeId = `change-${team}-${id}-${kind}${suffix}`;
          if (kind !== "submit") {
            const build = kind === "drain" ? buildDrain : buildUndrain;
            return { changeId, ...await drain(table, changeId, build) };
          }
          const row = await table.read(makeDocumentKey(team));
          if (row.type !== "rows") throw new Error("No rows");
          const editedFrom =
            getRowValue<DocumentRowValue>(row.rows[0]!)?.version ?? 0;
          // A retry sends the same content as the first attempt.
          const submission = submissions.get(changeId) ??
            { team, changeId, editedFrom };
          submissions.set(changeId, submission);
          const first = await submit(table, submission);
          if (first.type !== "unknown") return { changeId, ...first };
          table.commitLate();
          return { changeId, ...await submit(table, submission) };
        };
        const read = async () => {
          const loaded = await loadSnapshot(table);
          if (loaded.isErr()) return;
          const snapshot = loaded.value;
          // Compare as JSON, so that a failure of a mixed read prints its
          // documents.
          t.is(
            JSON.stringify(snapshot),
            JSON.stringify(snapshots.get(snapshot.sequence)),
          );
        };
        const results = await scheduler.waitFor(
          Promise.all([
            ...operations.map(run),
            ...operations.map(() => read()),
          ]),
        );
        while (table.commitLate());

        const audit = listAudit(table);
        const ids = audit.map((row) => row.changeId);
        const current = table.rows.get("config/current");
        t.is(current === undefined ? 0 : getSequence(current), audit.length);
        t.deepEqual(
          audit.map((row) => row.sequence),
          audit.map((_, n) => n + 1),
        );
        t.is(new Set(ids).size, ids.length);
        t.is(table.listNow("changes/").length, ids.length);
        for (const result of results) {
          if (result === undefined || result.type === "unknown") continue;
          const applied = result.type === "committed" ||
            result.type === "already-applied";
          t.is(ids.includes(result.changeId), applied, JSON.stringify(result));
          if (applied) t.is(ids[result.sequence - 1], result.changeId);
        }
      },
    ),
    { seed: SEED, numRuns: 400 },
  );
});

// Two operators edit the same version of a document; the second must conflict.
test("guards against an edit that overwrites another operator's", async (t) => {
  const { table } = makeTable();
  await submit(table, { team: "alpha", changeId: "winner", editedFrom: 0 });
  const lost = await submit(table, {
    team: "alpha",
    changeId: "loser",
    editedFrom: 0,
  });
  t.like(lost, {
    type: "conflict",
    version: 1,
    who: "author of winner",
  });
  t.is(listAudit(table).length, 1);
});

// The losing submitter needs the current version and the differences to redo
// the edit.
test("guards against a conflict without the current version or the differences", (t) => {
  const { table } = makeTable();
  const build = (changeId: string, regions: string[]) =>
    buildSubmission({
      ...makeOrigin(changeId),
      team: "alpha",
      text: changeId,
      editedFrom: 0,
      document: { team: "alpha", services: [{ name: "s", regions } as never] },
      rows: makeAbsentRows("alpha", changeId),
    }).unwrap();
  const [first, second] = [build("first", ["a"]), build("second", ["b"])];
  t.deepEqual(resolveSubmission(table.commit(first.transaction), first), {
    type: "committed",
    sequence: 1,
  });
  t.like(resolveSubmission(table.commit(second.transaction), second), {
    type: "conflict",
    version: 1,
    differences: ['services[s].regions: ["a"] -> ["b"]'],
  });
  t.deepEqual(resolveSubmission(table.commit(first.transaction), first), {
    type: "already-applied",
    sequence: 1,
  });
  t.is(resolveSubmission({ type: "unavailable" }, first).type, "unknown");
});

function makeAbsentRows(team: string, changeId: string): ChangeRows {
  const absent = (key: string) => ({ key, version: 0, value: null });
  return {
    current: absent("config/current"),
    target: absent(makeDocumentKey(team)),
    change: absent(`changes/${changeId}`),
  };
}

// A reused change id must not be reported as an applied retry.
test("guards against a reused change id that hides another change", async (t) => {
  const { table } = makeTable();
  await drain(table, "same");
  t.like(await drain(table, "same"), { type: "already-applied", sequence: 1 });
  t.like(
    await submit(table, { team: "alpha", changeId: "same", editedFrom: 0 }),
    { error: { code: "change-id-reused" } },
  );
  t.is(listAudit(table).length, 1);
});

test("guards against a lease release that loses the fence or keeps its owner", async (t) => {
  const { table } = makeTable();
  const key = makeGroupKey("availdesk", "southeast");
  const group = { service: "availdesk", region: "southeast" };
  const release = (changeId: string) =>
    applyChange(table, {
      changeId,
      targetKey: key,
      build: (rows) =>
        buildLeaseRelease({ ...makeOrigin(changeId), ...group, rows }),
    });
  t.like(await release("early"), { error: { code: "not-found" } });
  table.commit({
    checks: [],
    writes: [{ key, value: { owner: 4, deputy: 7, fence: 9 } }],
  });
  t.is((await release("forced")).type, "committed");
  t.deepEqual(table.rows.get(key)?.value, {
    owner: 0,
    deputy: 0,
    fence: 9,
  });
});

// Matching by index instead of name would report every element after it.
test("guards against an inserted element that is reported as many differences", (t) => {
  const lines = describeDifferences(
    { services: [{ name: "b", shift: { cap: 60 } }] },
    { services: [{ name: "a" }, { name: "b", shift: { cap: 80 } }] },
  );
  t.deepEqual(lines, [
    "services[b].shift.cap: 60 -> 80",
    'services[a]: nothing -> {"name":"a"}',
  ]);
  const many = Array.from({ length: 500 }, (_, n) => [`k${n}`, n]);
  t.is(describeDifferences({}, Object.fromEntries(many)).length, 100);
});
