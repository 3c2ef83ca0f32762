import test from "ava";
import { createDispatcher } from "@dotterelmoor/core.dispatching";
import { createPermitHolder } from "@dotterelmoor/core.permitting";
import {
  createRecorder,
  decodeTraceValue,
  encodeTraceValue,
} from "@dotterelmoor/core.recording";
import fc from "fast-check";
import { mkdtemp, readdir, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { handler, runReplay } from "./mod.ts";

const TRACES = new URL("../traces/", import.meta.url);

// A change of a state machine alters decisions that its own tests do not check.
test("guards against decisions that deviate from the committed traces", async (t) => {
  const files = (await readdir(TRACES)).filter((name) =>
    name.endsWith(".jsonl")
  );
  const printed: string[] = [];
  const paths = files.map((name) => new URL(name, TRACES).pathname);
  const args = { files: paths, quiet: true };
  const exitCode = await handler(args, (text) => printed.push(text));
  t.deepEqual(printed, []);
  t.is(exitCode, 0);
  t.true(files.length >= 13);
});

// A replay that skips what it cannot compare would report a match.
test("guards against a replay that misses a difference or an invalid line", async (t) => {
  const url = new URL("dispatching_leaving.jsonl", TRACES);
  const lines = (await readFile(url, "utf8")).trim().split("\n");
  const broken = [...lines];
  broken[5] = lines[5]!.replace(`"deadlineMs":`, `"deadlineMs":1`);
  t.like(await runReplay(broken), { type: "different", line: 6 });
  const unordered = await runReplay(lines.slice(1));
  t.like(unordered, { error: { code: "trace_without_options" } });
  const cut = await runReplay([...lines, "{"]);
  t.like(cut, { line: lines.length + 1, error: { code: "trace_not_json" } });
  const unknown = await runReplay([`{"atMs":0,"module":"x","options":{}}`]);
  t.like(unknown, { error: { code: "trace_module_unknown" } });
  const exitCode = await handler({ files: ["/absent"], quiet: true }, t.log);
  t.is(exitCode, 2);
});

// Two machines of one module interleave and draw from the same random source.
test("guards against a recording that cannot be replayed", async (t) => {
  const lines: string[] = [];
  let draws = 0;
  const random = () => (draws++ * 0.37) % 1;
  const options = { random, concurrency: 9, queueLength: 9 };
  const machines = ["one", "two"].map((instance) =>
    createRecorder({
      module: "dispatching",
      instance,
      create: createDispatcher,
      options,
      nowMs: 0,
      write: (line) => lines.push(line),
    })
  );
  const servers = ["a", "b", "c"].map((id) => ({
    id,
    address: `${id}:1`,
    slots: 3,
    state: "live" as const,
  }));
  for (const machine of machines) {
    machine.handle({ type: "servers", servers }, 1);
    machine.handle({ type: "authority", untilMs: 9_000 }, 2);
  }
  for (let n = 0; n < 20; n++) {
    const request = {
      id: `r${n}`,
      priority: "normal" as const,
      deadlineAtMs: 2_000,
      exclusive: false,
      avoid: [],
    };
    machines[n % 2]!.handle({ type: "submit", request }, 3 + n);
  }
  t.is(machines[0]!.inFlight, 3);
  t.deepEqual(await runReplay(lines), { type: "same", events: 24 });
});

// JSON has no infinities, NaN, undefined or byte arrays.
test("guards against values that encoding in a trace line alters", (t) => {
  const { tie } = fc.letrec((tie) => ({
    tie: fc.oneof(
      { depthSize: "small" },
      fc.constantFrom(Infinity, -Infinity, NaN, null, true, "text", 0.1),
      fc.uint8Array(),
      fc.array(fc.oneof(fc.constant(undefined), tie("tie"))),
      fc.dictionary(fc.string(), tie("tie"), { noNullPrototype: true }),
    ),
  }));
  fc.assert(
    fc.property(tie, (value) => {
      const decoded = decodeTraceValue(JSON.parse(encodeTraceValue(value)));
      t.deepEqual(decoded, value);
    }),
    { seed: 1 },
  );
});

// Calls change state between events, and a kill truncates the last line.
test("guards against lost calls and against a truncated last line", async (t) => {
  const lines: string[] = [];
  const holder = createRecorder({
    module: "permitting/holder",
    create: createPermitHolder,
    options: { budgetBytesPerSecond: 1_000 },
    calls: ["take", "waitMs"],
    nowMs: 0,
    write: (line) => lines.push(line),
  });
  t.false(holder.take(10, 1));
  t.is(holder.waitMs(10, 2), Infinity);
  t.is(holder.handle({ type: "tick" }, 3).length, 1);
  t.deepEqual(await runReplay(lines), { type: "same", events: 3 });
  const other = lines.map((line) => line.replace("false", "true"));
  t.like(await runReplay(other), { type: "different", line: 2 });

  const directory = await mkdtemp(join(tmpdir(), "dotterelmoor-replay-"));
  t.teardown(() => rm(directory, { recursive: true }));
  const file = join(directory, "killed.jsonl");
  await writeFile(file, `${lines.join("\n")}\n${lines[1]!.slice(0, 20)}`);
  const printed: string[] = [];
  const args = { files: [file], quiet: false };
  t.is(await handler(args, (text) => printed.push(text)), 0);
  t.deepEqual(printed, [`${file}: 3 events match`]);
});
