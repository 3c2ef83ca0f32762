import test from "ava";
import fc from "fast-check";
import { computeFingerprint, createQuarantine } from "./mod.ts";
import type { QuarantineAction, QuarantineEvent, RunResult } from "./mod.ts";

const SEED = 20261204;
const SLOTS = 3;
const HARMLESS = ["a0", "a1", "a2"];
const POISON = ["p0", "p1"];

type Step = (group: Group) => void;

/** Model of one owner's servers; poison requests crash the server they run on. */
class Group {
  now = 0;
  nextId = 0;
  log: string[] = [];
  crashes = new Map<string, number>();
  fingerprints = new Map<string, string>();
  queue = new Map<string, { trial: boolean }>();
  running = new Map<string, { server: string; trial: boolean }>();
  servers = ["s0", "s1", "s2", "s3"];
  readonly quarantine = createQuarantine({});

  apply(event: QuarantineEvent): void {
    this.log.push(`${this.now} ${JSON.stringify(event)}`);
    for (const action of this.quarantine.handle(event, this.now)) {
      this.check(action);
    }
  }

  check(action: QuarantineAction): void {
    if (action.type === "run") {
      const { id, trial } = action;
      const fingerprint = this.fingerprints.get(id)!;
      const isTried = [...this.queue, ...this.running].some(([other, run]) =>
        run.trial && this.fingerprints.get(other) === fingerprint
      );
      expect(!isTried, "two trials of one fingerprint at a time");
      this.queue.set(id, { trial });
    } else if (action.type === "recall") {
      expect(this.queue.delete(action.id), "recall of a request not queued");
    } else if (action.type === "refuse") {
      expect(!this.queue.has(action.id), "refuse without recall");
      this.fingerprints.delete(action.id);
    } else if (action.type === "notify_convicted") {
      expect(!HARMLESS.includes(action.fingerprint), "harmless one convicted");
    }
  }

  admit(fingerprint: string): void {
    const id = `r${this.nextId++}`;
    this.fingerprints.set(id, fingerprint);
    this.apply({ type: "admit", id, fingerprint });
  }

  listRunningAt(server: string): string[] {
    const all = [...this.running.keys()];
    return all.filter((id) => this.running.get(id)!.server === server);
  }

  start(n: number): void {
    const [id, run] = pick([...this.queue], n) ?? [];
    if (id === undefined) return;
    const server = pick(this.servers, n)!;
    const runningThere = this.listRunningAt(server);
    const hasTrial = runningThere.some((other) =>
      this.running.get(other)!.trial
    );
    const limit = run!.trial ? 1 : SLOTS;
    if (hasTrial || runningThere.length >= limit) return;
    this.queue.delete(id);
    this.running.set(id, { server, trial: run!.trial });
    this.apply({ type: "start", id, server });
  }

  finish(id: string, result: RunResult): void {
    const { trial } = this.running.get(id)!;
    this.running.delete(id);
    if (result === "refused" || result === "connection_refused") {
      this.queue.set(id, { trial });
    }
    this.apply({ type: "finish", id, result });
  }

  /** Ends a run; a poison request crashes its server instead of an answer. */
  end(n: number, result: RunResult): void {
    const id = pick([...this.running.keys()], n);
    if (id === undefined) return;
    const fingerprint = this.fingerprints.get(id)!;
    if (result !== "answered" || !POISON.includes(fingerprint)) {
      return this.finish(id, result);
    }
    const crashes = (this.crashes.get(fingerprint) ?? 0) + 1;
    this.crashes.set(fingerprint, crashes);
    expect(crashes <= 2, `${crashes} crashes by one fingerprint`);
    const { server } = this.running.get(id)!;
    const victims = this.listRunningAt(server);
    this.servers = this.servers.map((id) => id === server ? `${id}'` : id);
    for (let index = 0; index < victims.length; index++) {
      const victim = victims[(index + n) % victims.length]!;
      const answered = victim !== id && n % 4 === 0 &&
        !POISON.includes(this.fingerprints.get(victim)!);
      this.finish(victim, answered ? "answered" : "connection_lost");
    }
  }
}

function expect(condition: boolean, invariant: string): void {
  if (!condition) throw new Error(`Violated: ${invariant}`);
}

function pick<Item>(items: readonly Item[], index: number): Item | undefined {
  return items[index % items.length];
}

const results = fc.constantFrom<RunResult>(
  ...Array<RunResult>(5).fill("answered"),
  "refused",
  "timed_out",
  "connection_refused",
);
const steps = fc.oneof(
  fc.constantFrom(...HARMLESS, ...POISON).map((fingerprint): Step => (group) =>
    group.admit(fingerprint)
  ),
  fc.nat().map((n): Step => (group) => group.start(n)),
  fc.nat().map((n): Step => (group) => group.start(n)),
  fc.tuple(fc.nat(), results).map(([n, result]): Step => (group) =>
    group.end(n, result)
  ),
  fc.integer({ min: 0, max: 3000 }).map((ms): Step => (group) => {
    group.now += ms;
    group.apply({ type: "tick" });
  }),
);

test("guards against a third crash by one request, and convicting harmless ones", (t) => {
  const property = fc.property(
    fc.array(steps, { minLength: 30, maxLength: 200, size: "max" }),
    (list) => {
      const group = new Group();
      try {
        for (const step of list) step(group);
      } catch (error) {
        throw new Error(`${error}\n${group.log.join("\n")}`);
      }
      // When all runs have ended, the harmless requests must be clear and no
      // request may be left waiting.
      for (let n = 0; n < 1000; n++) {
        group.start(n);
        group.end(n, "answered");
      }
      expect(group.queue.size + group.running.size === 0, "request left");
      for (const name of HARMLESS) group.admit(name);
      expect(group.queue.size === HARMLESS.length, "harmless one waits");
    },
  );
  fc.assert(property, {
    seed: SEED,
    numRuns: 1000,
    includeErrorInReport: true,
  });
  t.pass();
});

const HOUR_MS = 3_600_000;

// A suspect reported by another owner is convicted by its first crash here.
test("guards against crashes at every owner, and against lasting convictions", (t) => {
  const quarantine = createQuarantine({ liftHoldMs: 30_000 });
  const run = (id: string, result?: RunResult) => {
    const event = { type: "admit", id, fingerprint: "p" } as const;
    const [action] = quarantine.handle(event, 0);
    if (result === undefined) return [action!];
    quarantine.handle({ type: "start", id, server: "s0" }, 0);
    return quarantine.handle({ type: "finish", id, result }, 0);
  };
  quarantine.handle({ type: "suspected", fingerprint: "p" }, 0);
  t.deepEqual(run("r0", "connection_lost"), [
    { type: "notify_convicted", fingerprint: "p", remainingMs: 600_000 },
  ], "a first crash after one at another owner convicts");
  t.like(run("r1"), [{ type: "refuse", retryAfterMs: 600_000 }]);
  t.is(quarantine.list(1000)[0]!.remainingMs, 599_000);

  quarantine.handle({ type: "lift", fingerprint: "p" }, 1000);
  const gossiped = {
    type: "convicted",
    fingerprint: "p",
    remainingMs: HOUR_MS,
  } as const;
  quarantine.handle(gossiped, 2000);
  t.is(
    quarantine.classify("p", 2000),
    "clear",
    "a conviction gossiped shortly after the lift is ignored",
  );
  quarantine.handle(gossiped, 40_000);
  t.is(quarantine.classify("p", 639_999), "convicted");
  t.is(quarantine.classify("p", 640_000), "clear");
  quarantine.handle({ type: "tick" }, 640_000);
  t.is(quarantine.nextWakeMs(), undefined);
});

test("guards against memory that grows with the number of fingerprints", (t) => {
  const quarantine = createQuarantine({ maxFingerprints: 10, maxWaiting: 5 });
  const refused: string[] = [];
  for (let n = 0; n < 100; n++) {
    const suspected = { type: "suspected", fingerprint: `p${n}` } as const;
    quarantine.handle(suspected, n);
    const event = { type: "admit", id: `r${n}`, fingerprint: "same" } as const;
    const actions = quarantine.handle(event, n);
    refused.push(...actions.map((action) => action.type));
  }
  t.is(quarantine.list(100).length, 10);
  t.is(refused.filter((type) => type === "refuse").length, 94);
});

test("guards against equal fingerprints of different requests", (t) => {
  const base = { service: "s", method: "GET", path: "/a" };
  const bytes = (text: string) => new TextEncoder().encode(text);
  const fingerprints = [
    base,
    { ...base, path: "/b" },
    { ...base, service: "sG", method: "ET" },
    { ...base, key: "x" },
    { ...base, body: bytes("x") },
    { ...base, body: bytes("y") },
    { ...base, caller: "10.0.0.1" },
    { ...base, caller: "10.0.0.2" },
  ].map(computeFingerprint);
  t.is(new Set(fingerprints).size, fingerprints.length);
  const sameKey = { ...base, key: "x", body: bytes("y") };
  t.is(computeFingerprint(sameKey), fingerprints[3]!);
});

test("guards against convictions caused by a server that truncates its answers", (t) => {
  const quarantine = createQuarantine({});
  const run = (id: string, result: RunResult) => {
    quarantine.handle({ type: "admit", id, fingerprint: "f" }, 0);
    quarantine.handle({ type: "start", id, server: "s" }, 0);
    quarantine.handle({ type: "finish", id, result }, 0);
    return quarantine.classify("f", 0);
  };
  t.is(run("r1", "incomplete_answer"), "clear");
  // A refused connection after a truncated answer proves a crash.
  t.is(run("r2", "connection_refused"), "suspect");
  quarantine.handle({ type: "release", id: "r2" }, 0);
  t.is(run("r3", "incomplete_answer"), "suspect");
});
