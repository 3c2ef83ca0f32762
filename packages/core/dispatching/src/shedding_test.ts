import test from "ava";
import { createDispatcher } from "./mod.ts";
import type { DispatchAction, Dispatcher, DispatchRequest } from "./mod.ts";

function makeDispatcher(slots: number, ids = ["s0"]): Dispatcher {
  const dispatcher = createDispatcher({
    random: () => 0.5,
    concurrency: 6,
    queueLength: 5,
  });
  const servers = ids.map((id) => ({
    id,
    address: `${id}:1`,
    slots,
    state: "live" as const,
  }));
  dispatcher.handle({ type: "servers", servers }, 0);
  dispatcher.handle({ type: "authority", untilMs: 60_000 }, 0);
  setHealth(dispatcher, 0);
  return dispatcher;
}

function setHealth(dispatcher: Dispatcher, nowMs: number): DispatchAction[] {
  return dispatcher.handle({
    type: "server_state",
    server: "s0",
    source: "health",
    state: "ok",
  }, nowMs);
}

function submit(
  dispatcher: Dispatcher,
  request: Partial<DispatchRequest> & { readonly id: string },
): string[] {
  const defaults: Omit<DispatchRequest, "id"> = {
    priority: "normal",
    deadlineAtMs: 5_000,
    exclusive: false,
    avoid: [],
  };
  const complete = { ...defaults, ...request };
  return describeActions(
    dispatcher.handle({ type: "submit", request: complete }, 0),
  );
}

function describeActions(actions: readonly DispatchAction[]): string[] {
  return actions.map((action) => {
    const id = "id" in action ? action.id : "";
    return action.type === "refuse" ? `${id} ${action.reason}` : `${id} sent`;
  });
}

// A full queue must make room at the end of the lowest class, and the expected
// wait must count every request ahead in the queue.
test("guards against shedding a higher class before a lower one", (t) => {
  const dispatcher = makeDispatcher(1);
  submit(dispatcher, { id: "r0" });
  const low = ["r1", "r2", "r3", "r4", "r5"];
  for (const id of low) {
    t.deepEqual(submit(dispatcher, { id, priority: "background" }), []);
  }
  const high = { id: "high", priority: "critical" as const };
  t.deepEqual(submit(dispatcher, high), ["r5 queue-full"]);
  dispatcher.handle({ type: "cancel", id: "r4" }, 0);
  // 50 ms per request ahead: the fifth in the queue waits 250 ms.
  const late = { id: "late", priority: "background" as const };
  t.deepEqual(submit(dispatcher, { ...late, deadlineAtMs: 240 }), [
    "late deadline-too-short",
  ]);
  t.deepEqual(submit(dispatcher, { ...late, sendByMs: 240 }), [
    "late shift-cap",
  ]);
  t.deepEqual(submit(dispatcher, { ...late, deadlineAtMs: 260 }), []);
});

// A stuck server times out on every request. It is ejected after two timeouts
// in a row and starts with one slot again once health answers.
test("guards against work for a stuck server until health answers", (t) => {
  const dispatcher = makeDispatcher(3);
  const finish = (
    id: string,
    result: "answered" | "timed_out",
    nowMs: number,
  ) =>
    describeActions(
      dispatcher.handle({ type: "finish", id, result, draining: false }, nowMs),
    );
  for (const id of ["r0", "r1"]) {
    submit(dispatcher, { id, deadlineAtMs: 1_000 });
    finish(id, "timed_out", 0);
  }
  t.deepEqual(submit(dispatcher, { id: "r2" }), ["r2 no-server"]);
  t.is(dispatcher.listServers(0)[0]!.state, "ejected");
  dispatcher.handle({ type: "tick" }, 1_300);
  setHealth(dispatcher, 1_300);
  t.is(dispatcher.listServers(1_300)[0]!.allowance, 1, "it starts with one");
  for (const id of ["r3", "r4", "r5", "r6", "r7", "r8"]) {
    submit(dispatcher, { id });
  }
  t.is(dispatcher.inFlight, 1);
  for (const id of ["r3", "r4", "r5"]) finish(id, "answered", 1_400);
  t.deepEqual(finish("r6", "answered", 1_400), ["r7 sent", "r8 sent"]);
});

// Each refusal sends the request to another server. It must end after three
// sends, and at once if no other server is left.
test("guards against a refused request that tries every server or waits", (t) => {
  const refuse = (dispatcher: Dispatcher) => {
    const event = { type: "finish", id: "r0", result: "refused" } as const;
    return describeActions(dispatcher.handle({ ...event, draining: false }, 0));
  };
  const severalServers = makeDispatcher(1, ["s0", "s1", "s2", "s3", "s4"]);
  submit(severalServers, { id: "r0" });
  t.deepEqual(refuse(severalServers), ["r0 sent"]);
  t.deepEqual(refuse(severalServers), ["r0 sent"]);
  t.deepEqual(refuse(severalServers), ["r0 server-refused"]);
  const singleServer = makeDispatcher(1);
  submit(singleServer, { id: "r0" });
  t.deepEqual(refuse(singleServer), ["r0 server-refused"]);
  t.deepEqual(submit(singleServer, { id: "r1", avoid: ["s0"] }), [
    "r1 no-server",
  ]);
});
