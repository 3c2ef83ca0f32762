import test from "ava";
import type { ExecutionContext } from "ava";
import type { CrashNote } from "@dotterelmoor/core.quarantine";
import { DisposableStore } from "@dotterelmoor/core.types";
import type { CrashReportMessage } from "@dotterelmoor/network.peering";
import { pino } from "pino";
import { Err, Ok } from "ts-results-es";
import type { CrashNoteChanges } from "../ports.ts";
import { createCrashReports } from "./crash_reports.ts";

const wait = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

function makeNote(number: number): CrashNote {
  return {
    key: `f${number}/s1/1`,
    type: "crash",
    fingerprint: `f${number}`,
    service: "desk",
    server: "s1",
    software: "v1",
    entry: "n1",
    atMs: 1,
  };
}

function setUp(
  t: ExecutionContext,
  options: {
    readonly reader?: string;
    readonly other?: string;
    readonly answers?: boolean;
  } = {},
) {
  const store = new DisposableStore();
  t.teardown(() => store.dispose());
  const writes: CrashNoteChanges[] = [];
  const calls: CrashReportMessage[] = [];
  const state = { isDown: false };
  const reports = createCrashReports({
    source: {
      changeCrashNotes: (changes) => {
        if (state.isDown) {
          const hint = "Wait";
          const message = "The store is down";
          return Promise.resolve(Err({ code: "unreachable", message, hint }));
        }
        writes.push(changes);
        return Promise.resolve(Ok(undefined));
      },
    },
    findReader: () => options.reader,
    findOther: () => options.other,
    call: (_address, message) => {
      calls.push(message);
      return Promise.resolve(
        options.answers ? { type: "crash_noted", written: true } : undefined,
      );
    },
    listExpired: () => ["old/s1/1"],
    store,
    log: pino({ level: "silent" }),
  });
  return { reports, writes, calls, state };
}

// Calls to the store are billed, and many entries lose requests with one crash.
test("guards against a separate write for each lost request", async (t) => {
  const { reports, writes } = setUp(t);
  reports.report({ notes: [makeNote(1)], removedKeys: [] });
  reports.report({ notes: [makeNote(2)], removedKeys: [] });
  const answers = await Promise.all(
    [3, 4].map((number) =>
      reports.answer({
        type: "crash_report",
        notes: [makeNote(number)],
        removedKeys: [],
      })
    ),
  );
  t.deepEqual(answers.map(({ written }) => written), [true, true]);
  await wait(300);
  const keys = writes.flatMap(({ notes }) => notes.map(({ key }) => key));
  t.deepEqual(keys.sort(), [1, 2, 3, 4].map((number) => `f${number}/s1/1`));
  t.true(writes.length <= 2);
  t.true(writes[0]!.removedKeys.includes("old/s1/1"));
});

test("guards against a crash that each entry writes itself although the reader answers", async (t) => {
  const { reports, writes, calls } = setUp(t, { reader: "n2", answers: true });
  reports.report({ notes: [makeNote(1)], removedKeys: [] });
  await wait(300);
  t.is(calls.length, 1);
  t.deepEqual(writes, []);
});

test("guards against a crash note that is lost when the reader does not answer", async (t) => {
  const { reports, writes } = setUp(t, { reader: "n2" });
  reports.report({ notes: [makeNote(1)], removedKeys: [] });
  await wait(500);
  t.is(writes[0]!.notes[0]!.key, "f1/s1/1");
});

test("guards against changes that are lost or reordered while the store is unreachable", async (t) => {
  const { reports, writes, state } = setUp(t);
  state.isDown = true;
  reports.report({ notes: [makeNote(1)], removedKeys: [] });
  await wait(300);
  // The first request has been answered since, so its note must not be written.
  reports.report({ notes: [makeNote(2)], removedKeys: ["f1/s1/1"] });
  state.isDown = false;
  await wait(1_500);
  t.deepEqual(writes.flatMap(({ notes }) => notes.map(({ key }) => key)), [
    "f2/s1/1",
  ]);
  t.true(writes[0]!.removedKeys.includes("f1/s1/1"));
});

test("guards against a crash note that an entry can't write because the store rejects its calls", async (t) => {
  const { reports, state, calls } = setUp(t, { other: "n9", answers: true });
  state.isDown = true;
  reports.report({ notes: [makeNote(1)], removedKeys: [] });
  await wait(500);
  t.is(calls.length, 1);
});

test("guards against a write with more changes than the store accepts", async (t) => {
  const { reports, writes } = setUp(t);
  const notes = Array.from({ length: 250 }, (_, number) => makeNote(number));
  reports.report({ notes, removedKeys: [] });
  await wait(1_200);
  const sizes = writes.map((write) =>
    write.notes.length + write.removedKeys.length
  );
  t.true(sizes.every((size) => size <= 100), String(sizes));
  t.is(writes.flatMap((write) => write.notes).length, 250);
});

// The store may come back from a copy that is some seconds old. Without the note
// of a trial, another entry could claim it again.
test("guards against notes and removals that stay lost when the store comes back from a copy", async (t) => {
  const { reports, writes } = setUp(t);
  reports.report({ notes: [makeNote(1), makeNote(2)], removedKeys: [] });
  await wait(300);
  reports.report({ notes: [], removedKeys: ["f2/s1/1"] });
  reports.remember({ ...makeNote(3), type: "trial" });
  await wait(300);
  writes.length = 0;
  t.is(reports.renew(), 3);
  await wait(300);
  t.is(writes.length, 1);
  t.deepEqual(writes[0]!.notes.map(({ key }) => key), ["f1/s1/1", "f3/s1/1"]);
  t.true(writes[0]!.removedKeys.includes("f2/s1/1"));
});
