import test from "ava";
import { createDispatcher } from "@dotterelmoor/core.dispatching";
import { readdir, readFile } from "node:fs/promises";
import { createRecorder } from "@dotterelmoor/core.recording";
import { handler, runReplay } from "./mod.ts";

const TRACES = new URL("../traces/", import.meta.url);

test("guards against a change of the decisions in the committed traces", async (t) => {
  const files = (await readdir(TRACES)).filter((name) =>
    name.endsWith(".jsonl")
  );
  const printed: string[] = [];
  const paths = files.map((name) => new URL(name, TRACES).pathname);
  const args = { files: paths, quiet: true };
  const exitCode = await handler(args, (text) => printed.push(text));
  t.deepEqual(printed, []);
  t.is(exitCode, 0);
  t.true(files.length >= 7);
});

test("guards against a replay that misses a difference or a bad line", async (t) => {
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
