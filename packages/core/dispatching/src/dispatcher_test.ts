import test from "ava";
import fc from "fast-check";
import { createDispatcher } from "./mod.ts";
import type { DispatchAction, DispatchEvent, FinishResult } from "./mod.ts";

const SEED = 20261204;
const TRANSIT_MS = 200;
const CLASSES = ["critical", "normal", "background"] as const;
const SERVERS = ["s0", "s1", "s2", "s3"];

type Submit = Extract<DispatchEvent, { type: "submit" }>["request"];
type Send = Extract<DispatchAction, { type: "send" }>;
type Step = (group: GroupModel) => void;

/**
 * Model of a group: what actually runs on the servers and what each source has
 * reported. Checks every action of the dispatcher against it.
 */
class GroupModel {
  now = 0;
  slots = new Map<string, number>();
  leaving = new Set<string>();
  drained = new Set<string>();
  unreachable = new Set<string>();
  concurrency = 6;
  authorityUntil = 0;
  closed = false;
  idles = 0;
  nextId = 0;
  log: string[] = [];
  waiting = new Map<string, Submit>();
  sentRequests = new Map<string, Submit & { server: string }>();
  running: {
    id: string;
    server: string;
    endsAt: number;
    isExclusive: boolean;
  }[] = [];
  readonly dispatcher = createDispatcher({
    random: () => 0.5,
    concurrency: this.concurrency,
    queueLength: 5,
  });

  apply(event: DispatchEvent): DispatchAction[] {
    this.log.push(`${this.now} ${JSON.stringify(event)}`);
    this.running = this.running.filter(({ endsAt }) => endsAt > this.now);
    const actions = this.dispatcher.handle(event, this.now);
    for (const action of actions) this.check(action);
    return actions;
  }

  submit(request: Omit<Submit, "id">): string {
    const id = `r${this.nextId++}`;
    this.waiting.set(id, { ...request, id });
    this.apply({ type: "submit", request: { ...request, id } });
    return id;
  }

  finish(id: string, result: FinishResult, draining = false): void {
    const { server, ...request } = this.sentRequests.get(id)!;
    this.sentRequests.delete(id);
    if (result !== "timed_out" && result !== "connection_lost") {
      this.running = this.running.filter((run) => run.id !== id);
    }
    if (result === "refused" || result === "connection_refused") {
      this.waiting.set(id, { ...request, avoid: [...request.avoid, server] });
    }
    if (draining && (result === "refused" || result === "answered")) {
      this.leaving.add(server);
    }
    if (result === "connection_refused") this.unreachable.add(server);
    this.apply({ type: "finish", id, result, draining });
  }

  cancel(id: string): void {
    this.waiting.delete(id);
    if (this.sentRequests.delete(id)) {
      const run = this.running.find((run) => run.id === id)!;
      run.endsAt = Math.min(run.endsAt, this.now + 500);
    }
    this.apply({ type: "cancel", id });
  }

  list(live: readonly string[], slots: number, leaving: string[] = []): void {
    this.slots = new Map(live.map((id) => [id, slots]));
    for (const id of leaving) if (live.includes(id)) this.leaving.add(id);
    const servers = live.map((id) => ({
      id,
      address: `${id}:1`,
      slots,
      state: leaving.includes(id) ? "leaving" as const : "live" as const,
    }));
    this.apply({ type: "servers", servers });
  }

  report(event: Extract<DispatchEvent, { type: "server_state" }>): void {
    const { server, source, state } = event;
    if (source === "operator") {
      if (state === "draining") this.drained.add(server);
      else this.drained.delete(server);
    } else if (state === "draining") this.leaving.add(server);
    if (source === "health" && this.slots.has(server)) {
      if (state === "unreachable") this.unreachable.add(server);
      else if (state !== "draining") this.unreachable.delete(server);
    }
    this.apply(event);
  }

  grant(ms: number): void {
    this.authorityUntil = this.now + ms;
    this.apply({ type: "authority", untilMs: this.authorityUntil });
  }

  wait(ms: number): void {
    const end = this.now + ms;
    for (let ticks = 0; this.dispatcher.nextWakeMs()! <= end; ticks++) {
      if (ticks > 100) throw new Error("Wakes up without progress");
      this.now = Math.max(this.now, this.dispatcher.nextWakeMs()!);
      this.apply({ type: "tick" });
    }
    this.now = end;
    this.apply({ type: "tick" });
  }

  check(action: DispatchAction): void {
    const checks = {
      send: () => this.checkSend(action as Send),
      refuse: (id: string) => expect(this.waiting.delete(id), "refuse"),
      abort: () => {},
      expire_in_flight: (id: string) => {
        expect(this.sentRequests.delete(id), "expire");
        expect(!this.running.some((run) => run.id === id), "expire early");
      },
      idle: () => {
        expect(this.closed && this.running.length === 0, "idle");
        this.idles += 1;
      },
    };
    checks[action.type]("id" in action ? action.id : "");
  }

  checkSend({ id, server, deadlineMs }: Send): void {
    const request = this.waiting.get(id)!;
    expect(this.waiting.delete(id), "send of a request that waits");
    const sameServer = this.running.filter((run) => run.server === server);
    const isHigher = (other: Submit) =>
      CLASSES.indexOf(other.priority) < CLASSES.indexOf(request.priority) &&
      !other.exclusive && other.avoid.length === 0;
    expect(!this.closed, "send while closed");
    expect(
      sameServer.length < (this.slots.get(server) ?? 0),
      "slots of a server",
    );
    expect(this.running.length < this.concurrency, "concurrency");
    expect(!this.leaving.has(server), "send to a leaving server");
    expect(!this.drained.has(server), "send to a drained server");
    expect(!this.unreachable.has(server), "send to an unreachable server");
    expect(!request.avoid.includes(server), "send to an avoided server");
    expect(
      !request.exclusive || sameServer.length === 0,
      "exclusive run alone",
    );
    expect(
      !sameServer.some((run) => run.isExclusive),
      "run beside an exclusive run",
    );
    expect(this.now < (request.sendByMs ?? Infinity), "send after sendByMs");
    expect(deadlineMs > 0, "deadline");
    expect(this.now + deadlineMs <= request.deadlineAtMs, "caller's deadline");
    const endsAt = this.now + deadlineMs + TRANSIT_MS;
    expect(endsAt <= this.authorityUntil, "deadline outlasts the authority");
    const overtaken = [...this.waiting.values()].some(isHigher);
    expect(request.exclusive || !overtaken, "lower class first");
    this.sentRequests.set(id, { ...request, server });
    this.running.push({ id, server, endsAt, isExclusive: request.exclusive });
  }

  /** Throws if a slot stays free while a request without restrictions waits. */
  checkNoIdleSlot(): void {
    const waiting = [...this.waiting.values()];
    const unrestricted = waiting.some((request) =>
      !request.exclusive && !request.avoid.length
    );
    const hasExclusive = this.running.some((run) => run.isExclusive) ||
      [...waiting, ...this.sentRequests.values()].some((request) =>
        request.exclusive
      );
    if (
      !unrestricted || hasExclusive ||
      this.dispatcher.inFlight >= this.concurrency
    ) return;
    const servers = this.dispatcher.listServers(this.now);
    const free = servers.some((server) => server.allowance > server.inFlight);
    expect(!free, "free slot while a request waits");
  }
}

function expect(condition: boolean, what: string): void {
  if (!condition) throw new Error(`Violated: ${what}`);
}
function pick(map: Map<string, unknown>, index: number): string | undefined {
  return [...map.keys()][index % map.size];
}

const results = fc.constantFrom<FinishResult>(
  "answered",
  "refused",
  "timed_out",
  "connection_refused",
  "connection_lost",
  "answered",
);
const rarely = fc.integer({ min: 0, max: 9 }).map((n) => n === 0);
const steps: [number, fc.Arbitrary<Step>][] = [
  [
    12,
    fc.record({
      priority: fc.constantFrom(...CLASSES),
      ms: fc.integer({ min: 1, max: 1500 }),
      sendMs: fc.option(fc.integer({ min: 0, max: 200 }), { nil: Infinity }),
      exclusive: rarely,
      avoid: fc.subarray(["s0", "s1"], { maxLength: 1 }),
    }).map(({ ms, sendMs, ...request }) => (group) => {
      const deadlineAtMs = group.now + ms;
      const sendByMs = group.now + sendMs;
      group.submit({ ...request, deadlineAtMs, sendByMs });
    }),
  ],
  [
    12,
    fc.tuple(fc.nat(), results, rarely).map(([n, result, draining]) => (g) => {
      const id = pick(g.sentRequests, n);
      if (id !== undefined) g.finish(id, result, draining);
    }),
  ],
  [6, fc.integer({ min: 0, max: 300 }).map((ms) => (group) => group.wait(ms))],
  [
    2,
    fc.nat().map((n) => (group) => {
      const id = pick(new Map([...group.waiting, ...group.sentRequests]), n);
      if (id !== undefined) group.cancel(id);
    }),
  ],
  [
    4,
    fc.record({
      type: fc.constant("server_state" as const),
      server: fc.constantFrom(...SERVERS),
      source: fc.constantFrom(
        "health",
        "health",
        "list",
        "refusal",
        "operator",
      ),
      state: fc.constantFrom(
        "ok",
        "ok",
        "ok",
        "cold",
        "draining",
        "unreachable",
      ),
    }).map((event) => (group) => group.report(event)),
  ],
  [
    1,
    fc.tuple(
      fc.subarray(SERVERS, { minLength: 2 }),
      fc.integer({ min: 1, max: 3 }),
      fc.subarray(["s2"]),
    ).map(([live, slots, leaving]) => (group) =>
      group.list(live, slots, leaving)
    ),
  ],
  [
    1,
    fc.integer({ min: 1, max: 8 }).map((concurrency) => (group) => {
      group.concurrency = concurrency;
      group.apply({ type: "limits", concurrency, queueLength: concurrency });
    }),
  ],
  [3, fc.integer({ min: -1, max: 9999 }).map((ms) => (g) => g.grant(ms))],
  [
    1,
    fc.constantFrom("close" as const, "open", "open").map((type) => (group) => {
      group.closed = type === "close";
      group.apply({ type });
    }),
  ],
];

// Random reports, limits, results and cancellations. After closing, every
// request must have ended and every slot must be free.
test("guards against overload, lost requests and work on leaving servers", (t) => {
  const arbitrary = fc.oneof(
    ...steps.map(([weight, arbitrary]) => ({ weight, arbitrary })),
  );
  const property = fc.property(
    fc.array(arbitrary, { minLength: 20, maxLength: 150, size: "max" }),
    (list) => {
      const group = new GroupModel();
      group.list(SERVERS, 3);
      group.grant(10_000);
      try {
        for (const step of list) {
          step(group);
          group.checkNoIdleSlot();
        }
      } catch (error) {
        throw new Error(`${error}\n${group.log.join("\n")}`);
      }
      group.idles = 0;
      group.closed = true;
      group.apply({ type: "close" });
      group.wait(20_000);
      expect(group.idles === 1, "one idle after close");
      expect(
        group.waiting.size + group.sentRequests.size === 0,
        "lost request",
      );
      expect(group.dispatcher.inFlight === 0, "slot in use for good");
    },
  );
  fc.assert(property, {
    seed: SEED,
    numRuns: 1500,
    includeErrorInReport: true,
  });
  t.pass();
});
