/**
 * Runs the requests of one target group that this process owns.
 *
 * @module
 */

import { createDispatcher } from "@dotterelmoor/core.dispatching";
import type {
  DispatchAction,
  Dispatcher,
  DispatchEvent,
  FinishResult,
  KnownServer,
  ServerSource,
  ServerState,
} from "@dotterelmoor/core.dispatching";
import { createRetryBudget } from "@dotterelmoor/core.retrying";
import { createShiftGate } from "@dotterelmoor/core.shifting";
import type { ShiftGate } from "@dotterelmoor/core.shifting";
import type {
  NotRun,
  NotRunReason,
  Outcome,
  Random,
  ServiceDocument,
} from "@dotterelmoor/core.types";
import type {
  BackendClient,
  BackendResult,
} from "@dotterelmoor/network.backend";
import type { Execution } from "../request/execution.ts";
import { createGroupRun } from "../request/group_run.ts";
import type { GroupRun } from "../request/group_run.ts";
import type { Clock } from "./clock.ts";
import { createMachineDriver } from "./machine_driver.ts";
import type { QuarantinePart } from "./quarantine_part.ts";
import { createShiftMonitor } from "./shift_monitor.ts";

/** Requests that may wait for each slot of a group. */
const QUEUE_PER_GROUP = 256;
/** Transit allowance between the deadline at the server and authority. */
const AUTHORITY_MARGIN_MS = 200;
const CLOSED_RETRY_MS = 100;

/** Options of `createGroupOwner`. */
export interface GroupOwnerOptions {
  readonly service: string;
  readonly region: string;
  readonly fence: number;
  readonly document: ServiceDocument;
  readonly clock: Clock;
  readonly random: Random;
  readonly backend: BackendClient;
  readonly quarantine: QuarantinePart;
  /** End of this process's authority over the group on its own clock. */
  readonly authorityUntilMs: () => number;
  /** No request is in flight any more after `close`. */
  readonly onIdle: () => void;
}

/** Owner of one target group. */
export interface GroupOwner {
  readonly service: string;
  readonly region: string;
  readonly fence: number;
  readonly dispatcher: Dispatcher;
  readonly gate: ShiftGate;
  /** Runs a request; the signal tells that nobody waits any more. */
  execute(execution: Execution, signal: AbortSignal): Promise<Outcome>;
  setDocument(document: ServiceDocument): void;
  setServers(servers: readonly KnownServer[]): void;
  setOperatorDrains(instances: readonly string[]): void;
  reportServer(server: string, source: ServerSource, state: ServerState): void;
  tick(): void;
  /** Stops dispatching; what is in flight ends. */
  close(): void;
}

/** Creates the owner of one group, with authority from now on. */
export function createGroupOwner(options: GroupOwnerOptions): GroupOwner {
  const { clock, quarantine, region, service } = options;
  let document = options.document;
  const runs = new Map<string, GroupRun>();
  const monitor = createShiftMonitor();
  let nextSequence = 0;
  let windowEndsMs = clock.nowMs() + document.shift.windowMs;

  const gate = createShiftGate({
    limits: document.shift,
    startedAtMs: clock.nowMs(),
  });
  const budget = createRetryBudget({ limits: document.retry });
  const dispatcher = createDispatcher({
    random: options.random,
    concurrency: document.concurrency[region] ?? 0,
    queueLength: QUEUE_PER_GROUP,
    transitMs: AUTHORITY_MARGIN_MS,
  });
  const driver = createMachineDriver<DispatchEvent, DispatchAction>({
    machine: dispatcher,
    clock,
    handlers: {
      send: (action) => void sendToServer(action),
      refuse: ({ id, reason, retryAfterMs }) =>
        endRun(id, makeNotRun(reason, retryAfterMs)),
      abort: ({ id }) => runs.get(id)?.abort.abort(),
      expire_in_flight: ({ id }) =>
        endRun(id, { type: "unknown", reason: "deadline-passed" }),
      idle: () => options.onIdle(),
    },
  });

  function submitEvent(event: DispatchEvent): void {
    driver.send({ type: "authority", untilMs: options.authorityUntilMs() });
    driver.send(event);
  }

  function endRun(id: string, outcome: Outcome): void {
    const run = runs.get(id);
    if (run === undefined) return;
    runs.delete(id);
    quarantine.release(id);
    run.resolve(outcome);
  }

  async function sendToServer(
    action: Extract<DispatchAction, { type: "send" }>,
  ): Promise<void> {
    const { id, server, address, deadlineMs } = action;
    const run = runs.get(id);
    if (run === undefined) return;
    const startedMs = clock.nowMs();
    quarantine.send({ type: "start", id, server });
    const result = await options.backend.send({
      ...run.request,
      address,
      deadlineMs,
      signal: run.abort.signal,
      workLimitMs: () =>
        options.authorityUntilMs() - clock.nowMs() - AUTHORITY_MARGIN_MS,
    });
    finishSend(run, { id, server, result, startedMs });
  }

  function finishSend(run: GroupRun, sent: FinishedSend): void {
    const { id, result, server, startedMs } = sent;
    // The run ended when it was cancelled; its slot stays in use for a while.
    if (result.type === "cancelled") return;
    const finish = FINISH_RESULTS[result.type];
    recordSend(result, clock.nowMs() - startedMs);
    quarantine.send({ type: "finish", id, result: finish });
    const draining = result.type === "refused" && result.draining;
    const outcome = toOutcome(result, server);
    const retry = outcome?.type === "unknown" && canRetry(run, result);
    // The run leaves the table first, so that an action on the same id that
    // the dispatcher emits now cannot end it a second time.
    if (outcome !== undefined) runs.delete(id);
    submitEvent({ type: "finish", id, result: finish, draining });
    if (outcome === undefined) return;
    quarantine.release(id);
    if (retry) admit(run.execution, run.resolve, run.abort, [server]);
    else run.resolve(outcome);
  }

  function recordSend(result: BackendResult, latencyMs: number): void {
    if (result.type === "answered") monitor.recordAnswer(latencyMs);
    else monitor.recordFailure();
  }

  function canRetry(run: GroupRun, result: BackendResult): boolean {
    if (!run.execution.repeatable || run.retried) return false;
    if (result.type !== "connection_lost") return false;
    const actions = budget.handle(
      { type: "retry", id: run.execution.requestId },
      clock.nowMs(),
    );
    return actions.some((action) => action.type === "granted");
  }

  function admit(
    execution: Execution,
    resolve: (outcome: Outcome) => void,
    abort: AbortController,
    avoid: readonly string[],
  ): string {
    const id = `${options.fence}-${nextSequence++}`;
    const run = createGroupRun({ execution, resolve, abort, avoid });
    runs.set(id, run);
    quarantine.admit({ id, service, fingerprint: execution.fingerprint }, {
      run: (trial) => submitRun(id, run, trial),
      recall: () => submitEvent({ type: "cancel", id }),
      refuse: (retryAfterMs) =>
        endRun(id, makeNotRun("quarantined", retryAfterMs)),
    });
    return id;
  }

  function submitRun(id: string, run: GroupRun, trial: boolean): void {
    submitEvent({
      type: "submit",
      request: {
        id,
        priority: run.execution.priority,
        deadlineAtMs: run.execution.deadlineAtMs,
        exclusive: trial,
        avoid: run.avoid,
      },
    });
  }

  function admitShift(execution: Execution): NotRun | undefined {
    if (execution.homeRegion === region) return undefined;
    for (
      const action of gate.handle(
        { type: "admit", id: execution.requestId },
        clock.nowMs(),
      )
    ) {
      if (action.type === "refused") {
        return makeNotRun("shift-cap", action.retryAfterMs);
      }
    }
    return undefined;
  }

  function closeWindow(): void {
    const nowMs = clock.nowMs();
    if (nowMs < windowEndsMs) return;
    windowEndsMs = nowMs + document.shift.windowMs;
    const condition = monitor.closeWindow();
    gate.handle({ type: "measurement", condition }, nowMs);
  }

  function execute(
    execution: Execution,
    signal: AbortSignal,
  ): Promise<Outcome> {
    if (dispatcher.closed) {
      return Promise.resolve(makeNotRun("closing", CLOSED_RETRY_MS));
    }
    if (options.authorityUntilMs() <= clock.nowMs()) {
      return Promise.resolve(makeNotRun("authority-lapsed", CLOSED_RETRY_MS));
    }
    const refused = admitShift(execution);
    if (refused !== undefined) return Promise.resolve(refused);
    budget.handle({ type: "request" }, clock.nowMs());
    return new Promise((resolve) => {
      const abort = new AbortController();
      admit(execution, resolve, abort, []);
      signal.addEventListener("abort", () => cancelRuns(abort), { once: true });
    });
  }

  function cancelRuns(abort: AbortController): void {
    for (const [id, run] of runs) {
      if (run.abort !== abort) continue;
      submitEvent({ type: "cancel", id });
      abort.abort();
      endRun(id, { type: "unknown", reason: "caller-left" });
    }
  }

  return {
    service,
    region,
    fence: options.fence,
    dispatcher,
    gate,
    execute,
    setDocument: (next) => {
      document = next;
      gate.handle({ type: "settings", limits: next.shift }, clock.nowMs());
      budget.handle({ type: "settings", limits: next.retry }, clock.nowMs());
      submitEvent({
        type: "limits",
        concurrency: next.concurrency[region] ?? 0,
        queueLength: QUEUE_PER_GROUP,
      });
    },
    setServers: (servers) => submitEvent({ type: "servers", servers }),
    setOperatorDrains: (instances) =>
      submitEvent({ type: "operator_drains", instances }),
    reportServer: (server, source, state) =>
      submitEvent({ type: "server_state", server, source, state }),
    tick: () => {
      closeWindow();
      submitEvent({ type: "tick" });
    },
    close: () => submitEvent({ type: "close" }),
  };
}

interface FinishedSend {
  readonly id: string;
  readonly server: string;
  readonly result: BackendResult;
  readonly startedMs: number;
}

/** How the dispatcher and the quarantine see a result of the client. */
const FINISH_RESULTS: Readonly<
  Record<Exclude<BackendResult["type"], "cancelled">, FinishResult>
> = {
  answered: "answered",
  refused: "refused",
  connection_refused: "connection_refused",
  not_authorized: "refused",
  connection_lost: "connection_lost",
  timed_out: "timed_out",
  incomplete_answer: "connection_lost",
};

/** Outcome of a send, or undefined if the dispatcher decides what follows. */
function toOutcome(result: BackendResult, server: string): Outcome | undefined {
  switch (result.type) {
    case "answered":
      return { ...result, server };
    case "connection_lost":
      return { type: "unknown", reason: "connection-lost" };
    case "incomplete_answer":
      return { type: "unknown", reason: "incomplete-answer" };
    case "timed_out":
      return { type: "unknown", reason: "deadline-passed" };
    case "cancelled":
      return { type: "unknown", reason: "caller-left" };
    default:
      return undefined;
  }
}

function makeNotRun(reason: NotRunReason, retryAfterMs: number): NotRun {
  return { type: "not-run", reason, retryAfterMs };
}
