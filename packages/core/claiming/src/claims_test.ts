import test from "ava";
import fc from "fast-check";
import {
  createRandom,
  MemoryTable,
  submitRead,
  submitTransaction,
  VirtualTime,
} from "../../ownership/src/table_fixture.ts";
import { createClaims, createIssuedKeys } from "./mod.ts";
import type { Claims, ClaimsAction, ClaimsEvent } from "./mod.ts";

// Shrinking takes longer than the time limit of a test.
const RUN = {
  seed: 20261204,
  includeErrorInReport: true,
  endOnFailure: true,
  numRuns: 300,
};

const KEYS = ["hold-1", "hold-2", "hold-3"];

interface Process {
  machine: Claims;
  name: string;
  crashed: boolean;
}

type Refusal = Extract<ClaimsAction, { type: "refused" }>["outcome"];

/** Simulation of several processes that claim the same keys in one table. */
class World {
  readonly time = new VirtualTime();
  readonly table = new MemoryTable();
  readonly processes: Process[] = [];
  readonly problems: string[] = [];
  /** Keys whose request has run. */
  readonly runs = new Map<string, number>();
  readonly granted = new Map<string, string>();
  readonly answers = new Map<string, "claimed" | Refusal>();
  readonly keys = new Map<string, string>();
  readonly random: () => number;
  lossRate = 0;

  constructor(seed: number) {
    this.random = createRandom(seed);
    for (let index = 0; index < 3; index++) this.addProcess();
  }

  addProcess(): void {
    const name = `process-${this.processes.length}`;
    const process = { name, machine: createClaims(), crashed: false };
    this.processes.push(process);
    const incarnation = this.processes.length;
    this.deliver(process, { type: "session", incarnation });
    const tick = () => {
      if (process.crashed) return;
      this.deliver(process, { type: "tick" });
      this.time.after(2, tick);
    };
    tick();
  }

  claim(process: Process, key: string, lifetimeMs: number): string {
    const requestId = `${process.name}/${this.keys.size}`;
    this.keys.set(requestId, key);
    const fingerprint = `f${Math.floor(this.random() * 2)}`;
    const expiresAtMs = this.time.nowMs + lifetimeMs;
    const request = { requestId, service: "desk", key, fingerprint };
    this.deliver(process, { type: "claim", ...request, expiresAtMs });
    return requestId;
  }

  deliver(process: Process, event: ClaimsEvent): void {
    if (process.crashed) return;
    for (const action of process.machine.handle(event, this.time.nowMs)) {
      this.#execute(process, action);
    }
  }

  #execute(process: Process, action: ClaimsAction): void {
    const { time, table, random } = this;
    const access = { time, table, random, lossRate: () => this.lossRate };
    if (action.type === "transact") {
      const { operationId, transaction } = action;
      submitTransaction(
        access,
        transaction,
        (result) =>
          this.deliver(process, { type: "transacted", operationId, result }),
      );
    } else if (action.type === "read") {
      const { operationId, key } = action;
      submitRead(
        access,
        key,
        (result) =>
          this.deliver(process, { type: "rows_read", operationId, result }),
      );
    } else this.#answer(process, action);
  }

  #answer(
    process: Process,
    action: Extract<ClaimsAction, { type: "claimed" | "refused" }>,
  ): void {
    const { requestId } = action;
    if (this.answers.has(requestId)) {
      this.problems.push(`${requestId} was answered twice`);
    }
    this.answers.set(
      requestId,
      action.type === "claimed" ? "claimed" : action.outcome,
    );
    if (action.type === "claimed") this.#run(process, requestId);
  }

  /** Runs the request, or releases its key as if its server had refused it. */
  #run(process: Process, requestId: string): void {
    const key = this.keys.get(requestId)!;
    const other = this.granted.get(key);
    if (other !== undefined) {
      this.problems.push(`${key} granted to ${requestId} beside ${other}`);
    }
    this.granted.set(key, requestId);
    const isRun = this.random() < 0.3;
    if (isRun) this.runs.set(key, 1);
    this.time.after(this.random() * 300, () => {
      if (process.crashed) return;
      if (!isRun) this.granted.delete(key);
      const type = isRun ? "finish" : "release";
      this.deliver(process, { type, requestId });
      if (isRun || this.random() < 0.5) return;
      this.time.after(this.random() * 30, () => {
        if (!process.crashed) this.claim(process, key, 6_000);
      });
    });
  }
}

const stepArbitrary = fc.record({
  process: fc.nat(2),
  key: fc.constantFrom(...KEYS),
  pauseMs: fc.oneof(fc.nat(30), fc.nat(3_000)),
  lifetimeMs: fc.constantFrom(20, 500, 6_000),
  lossRate: fc.constantFrom(0, 0, 0.3, 0.6, 1),
  crash: fc.nat(30).map((number) => number === 0),
});

// A write whose answer is lost may take effect up to 30 s later, after its
// request was refused or its process crashed.
test("guards against a key that is granted twice over all processes", (t) => {
  const property = fc.property(
    fc.integer({ min: 0, max: 0x7fffffff }),
    fc.array(stepArbitrary, { minLength: 5, maxLength: 60 }),
    (seed, steps) => {
      const world = new World(seed);
      for (const step of steps) {
        world.lossRate = step.lossRate;
        const live = world.processes.filter(({ crashed }) => !crashed);
        const process = live[step.process]!;
        world.claim(process, step.key, step.lifetimeMs);
        if (step.crash) {
          process.crashed = true;
          world.addProcess();
        }
        world.time.runUntil(world.time.nowMs + step.pauseMs);
      }
      world.lossRate = 0;
      world.time.runUntil(world.time.nowMs + 60_000);
      assertSettled(world, steps.some(({ crash }) => crash));
    },
  );
  fc.assert(property, RUN);
  t.pass();
});

/**
 * Throws unless every request was answered and every key whose request never
 * ran can be claimed again.
 */
function assertSettled(world: World, hasCrash: boolean): void {
  const { problems, processes } = world;
  for (const { crashed, machine, name } of processes) {
    if (!crashed && machine.pending() > 0) problems.push(`${name} not settled`);
  }
  for (const requestId of world.keys.keys()) {
    const [name] = requestId.split("/");
    const { crashed } = processes.find((process) => process.name === name)!;
    if (!crashed && !world.answers.has(requestId)) problems.push(requestId);
  }
  for (const key of hasCrash ? [] : KEYS) {
    if (world.runs.has(key)) continue;
    const requestId = world.claim(processes[0]!, key, 6_000);
    world.time.runUntil(world.time.nowMs + 1_000);
    if (world.answers.get(requestId) !== "claimed") {
      problems.push(`${key} lost`);
    }
  }
  if (problems.length > 0) throw new Error(JSON.stringify(problems));
}

// One conflict makes the transaction of the whole batch fail; the claims that
// did not conflict must be sent again.
test("guards against one claimed key that fails the rest of its batch", (t) => {
  const world = new World(1);
  const [process] = world.processes;
  world.table.write("claims/desk/taken", { incarnation: 99, sequence: 1 });
  const requests = Array.from(
    { length: 100 },
    (_, index) =>
      world.claim(process!, index === 50 ? "taken" : `key-${index}`, 6_000),
  );
  world.time.runUntil(500);
  const refused = requests.filter((id) => world.answers.get(id) !== "claimed");
  t.deepEqual(refused, [requests[50]]);
  t.deepEqual(world.answers.get(refused[0]!), {
    type: "unknown",
    reason: "key-already-claimed",
  });
});

// Once operations get no answer, requests must be refused at once instead of
// waiting until they expire.
test("guards against requests that wait for a store that is down", (t) => {
  const world = new World(1);
  world.lossRate = 1;
  const early = world.claim(world.processes[0]!, "key-1", 60_000);
  world.time.runUntil(5_000);
  const late = world.claim(world.processes[0]!, "key-2", 60_000);
  const refusal: Refusal = { type: "not-run", reason: "store-unavailable" };
  t.deepEqual([early, late].map((id) => world.answers.get(id)), [
    refusal,
    refusal,
  ]);
});

// Also covers forged keys, release after a refusal, and the memory for used
// keys.
test("guards against issued keys that are used twice, late or elsewhere", (t) => {
  const random = createRandom(1);
  const createKeys = (processId: string) =>
    createIssuedKeys({ processId, secret: Buffer.from(processId), random });
  const [own, other] = [createKeys("entry.1"), createKeys("entry.2")];
  const key = own.issue(0);
  t.is(own.use(key, 1_000), "used-once");
  t.is(own.use(key, 59_999), "already-used");
  t.is(other.use(key, 1_000), "not-ours");
  t.is(own.use(key, 60_000), "expired");
  t.is(createKeys("entry.1").parse(key)?.processId, "entry.1");
  const forged = key.replace(".60000.", ".90000.");
  t.is(own.use(forged, 70_000), "invalid");
  t.is(own.use("order-7", 0), "invalid");

  const refused = own.issue(0);
  own.use(refused, 0);
  own.release(refused);
  t.is(own.use(refused, 1), "used-once");

  for (let nowMs = 0; nowMs < 600_000; nowMs += 100) {
    own.use(own.issue(nowMs), nowMs);
    t.true(own.size() <= 620);
  }
});
