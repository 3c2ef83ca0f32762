/**
 * Runs the requests of one target group that this process owns.
 *
 * @module
 */

import type {
  DispatchAction,
  Dispatcher,
  DispatchEvent,
  KnownServer,
  ServerSource,
  ServerState,
} from "@dotterelmoor/core.dispatching";
import type { RetryBudget } from "@dotterelmoor/core.retrying";
import type { ShiftGate } from "@dotterelmoor/core.shifting";
import type {
  NotRun,
  Outcome,
  ServiceDocument,
} from "@dotterelmoor/core.types";
import type { Execution } from "../request/execution.ts";
import { createGroupRun } from "../request/group_run.ts";
import type { GroupRun } from "../request/group_run.ts";
import { createGroupMachines } from "./group_machines.ts";
import type { GroupLimits } from "./group_machines.ts";
import type { GroupOwner, GroupOwnerOptions } from "./group_owner_types.ts";
import { createMachineDriver } from "./machine_driver.ts";
import type { MachineDriver } from "./machine_driver.ts";
import { makeNotRun, toFinishResult, toOutcome } from "./send_results.ts";
import type { SendResult } from "./send_results.ts";
import { createShiftMonitor } from "./shift_monitor.ts";

/** Requests that may wait for a group. */
const MAX_QUEUE = 256;
/** Transit allowance between the deadline at the server and authority. */
const AUTHORITY_MARGIN_MS = 200;
const CLOSED_RETRY_MS = 100;
/**
 * Time in which a conviction reaches every region. Meanwhile only the home
 * region runs a suspect again, or each region could lose a second server.
 */
const SUSPICION_SPREAD_MS = 2_000;
/**
 * Share of a shift window that an admitted request may wait for its server.
 * The window is longer by as much, so that the cap holds at the servers too;
 * a larger share would leave more of the cap unused.
 */
const SHIFT_WAIT_SHARE = 0.05;

/** Creates the owner of one group, with authority from now on. */
export function createGroupOwner(options: GroupOwnerOptions): GroupOwner {
  return new GroupOwnerTask(options);
}

type SendAction = Extract<DispatchAction, { type: "send" }>;

interface FinishedSend {
  readonly run: GroupRun;
  readonly action: SendAction;
  readonly result: SendResult;
  readonly startedMs: number;
}

class GroupOwnerTask implements GroupOwner {
  readonly service: string;
  readonly region: string;
  readonly fence: number;
  readonly dispatcher: Dispatcher;
  readonly gate: ShiftGate;
  readonly #options: GroupOwnerOptions;
  readonly #budget: RetryBudget;
  readonly #driver: MachineDriver<DispatchEvent>;
  readonly #monitor = createShiftMonitor();
  readonly #runs = new Map<string, GroupRun>();
  #windowMs: number;
  #windowEndsMs: number;
  #nextRun = 0;

  constructor(options: GroupOwnerOptions) {
    this.#options = options;
    this.service = options.service;
    this.region = options.region;
    this.fence = options.fence;
    const { document } = options;
    const machines = createGroupMachines(options, {
      startedAtMs: this.#nowMs(),
      jitterMs: document.shift.windowMs * SHIFT_WAIT_SHARE,
      transitMs: AUTHORITY_MARGIN_MS,
      limits: this.#readLimits(document),
    });
    this.gate = machines.gate;
    this.#budget = machines.budget;
    this.dispatcher = machines.dispatcher;
    this.#driver = this.#createDriver();
    this.#windowMs = document.shift.windowMs;
    this.#windowEndsMs = this.#nowMs() + this.#windowMs;
  }

  execute(execution: Execution, signal: AbortSignal): Promise<Outcome> {
    if (signal.aborted) {
      return Promise.resolve({ type: "unknown", reason: "caller-left" });
    }
    const nowMs = this.#nowMs();
    const refused = this.#refuse(execution, nowMs);
    if (refused !== undefined) return Promise.resolve(refused);
    this.#budget.handle({ type: "request" }, nowMs);
    return new Promise((resolve) => {
      const abort = new AbortController();
      signal.addEventListener("abort", () => this.#cancel(abort), {
        once: true,
      });
      const admittedAtMs = this.#isShifted(execution) ? nowMs : undefined;
      this.#admit(
        createGroupRun({ execution, resolve, abort, admittedAtMs, avoid: [] }),
      );
    });
  }

  setDocument(document: ServiceDocument): void {
    const nowMs = this.#nowMs();
    this.#windowMs = document.shift.windowMs;
    this.gate.handle({ type: "settings", limits: document.shift }, nowMs);
    this.#budget.handle({ type: "settings", limits: document.retry }, nowMs);
    this.#send({ type: "limits", ...this.#readLimits(document) });
  }

  setServers(servers: readonly KnownServer[]): void {
    this.#send({ type: "servers", servers });
  }

  setOperatorDrains(instances: readonly string[]): void {
    this.#send({ type: "operator_drains", instances });
  }

  reportServer(server: string, source: ServerSource, state: ServerState): void {
    this.#send({ type: "server_state", server, source, state });
  }

  tick(): void {
    const nowMs = this.#nowMs();
    if (nowMs >= this.#windowEndsMs) {
      this.#windowEndsMs = nowMs + this.#windowMs;
      const condition = this.#monitor.closeWindow();
      this.gate.handle({ type: "measurement", condition }, nowMs);
    }
    this.#send({ type: "tick" });
  }

  close(): void {
    this.#send({ type: "close" });
  }

  #nowMs(): number {
    return this.#options.clock.nowMs();
  }

  #readLimits(document: ServiceDocument): GroupLimits {
    const concurrency = document.concurrency[this.region] ?? 0;
    return { concurrency, queueLength: MAX_QUEUE };
  }

  #isShifted(execution: Execution): boolean {
    return execution.homeRegion !== this.region;
  }

  #createDriver(): MachineDriver<DispatchEvent> {
    return createMachineDriver<DispatchEvent, DispatchAction>({
      machine: this.dispatcher,
      clock: this.#options.clock,
      wake: {
        nextMs: () => this.dispatcher.nextWakeMs(),
        event: { type: "tick" },
        store: this.#options.store,
      },
      handlers: {
        send: (action) => void this.#sendToServer(action),
        refuse: ({ id, reason, retryAfterMs }) =>
          this.#endRun(id, makeNotRun(reason, retryAfterMs)),
        abort: ({ id }) => this.#runs.get(id)?.abort.abort(),
        expire_in_flight: ({ id }) =>
          this.#endRun(id, { type: "unknown", reason: "deadline-passed" }),
        idle: () => this.#options.onIdle(),
      },
    });
  }

  /** Sends an event, after the current end of authority. */
  #send(event: DispatchEvent): void {
    const untilMs = this.#options.authorityUntilMs();
    this.#driver.send({ type: "authority", untilMs });
    this.#driver.send(event);
  }

  #refuse(execution: Execution, nowMs: number): NotRun | undefined {
    if (this.dispatcher.closed) return makeNotRun("closing", CLOSED_RETRY_MS);
    if (this.#options.authorityUntilMs() <= nowMs) {
      return makeNotRun("authority-lapsed", CLOSED_RETRY_MS);
    }
    if (!this.#isShifted(execution)) return undefined;
    const ageMs = this.#options.quarantine.quarantine.getSuspicionAgeMs(
      execution.fingerprint,
      nowMs,
    );
    if (ageMs !== undefined && ageMs < SUSPICION_SPREAD_MS) {
      return makeNotRun("quarantined", SUSPICION_SPREAD_MS - ageMs);
    }
    const event = { type: "admit", id: execution.requestId } as const;
    for (const action of this.gate.handle(event, nowMs)) {
      if (action.type === "refused") {
        return makeNotRun("shift-cap", action.retryAfterMs);
      }
    }
    return undefined;
  }

  #admit(run: GroupRun): void {
    const { execution } = run;
    // The quarantine is shared by the groups of a process.
    const id = `${this.service}/${this.fence}-${this.#nextRun++}`;
    this.#runs.set(id, run);
    const admission = {
      id,
      service: this.service,
      fingerprint: execution.fingerprint,
    };
    this.#options.quarantine.admit(admission, {
      run: (trial) => this.#submit(id, run, trial),
      recall: () => this.#send({ type: "cancel", id }),
      refuse: (retryAfterMs) =>
        this.#endRun(id, makeNotRun("quarantined", retryAfterMs)),
    });
  }

  #submit(id: string, run: GroupRun, trial: boolean): void {
    const { deadlineAtMs, priority } = run.execution;
    this.#send({
      type: "submit",
      request: {
        id,
        priority,
        deadlineAtMs,
        exclusive: trial,
        avoid: run.avoid,
        sendByMs: this.#computeSendBy(run),
      },
    });
  }

  async #sendToServer(action: SendAction): Promise<void> {
    const { id, server, address, deadlineMs } = action;
    const run = this.#runs.get(id);
    if (run === undefined) return;
    const startedMs = this.#nowMs();
    run.isSent = true;
    this.#options.quarantine.send({ type: "start", id, server });
    const result = await this.#options.backend.send({
      ...run.request,
      address,
      deadlineMs,
      signal: run.abort.signal,
      workLimitMs: () =>
        this.#options.authorityUntilMs() - this.#nowMs() - AUTHORITY_MARGIN_MS,
    });
    // The run ended when it was cancelled; its slot stays in use for a while.
    if (result.type === "cancelled") return;
    this.#finishSend({ run, action, result, startedMs });
  }

  #finishSend({ run, action, result, startedMs }: FinishedSend): void {
    const { id, server } = action;
    const finish = toFinishResult(result);
    if (result.type === "answered") {
      this.#monitor.recordAnswer(this.#nowMs() - startedMs);
    } else {
      this.#monitor.recordFailure();
    }
    this.#options.quarantine.send({
      type: "finish",
      id,
      // A cut answer alone is no crash, but its slot is held like a lost one.
      result: result.type === "incomplete_answer" ? result.type : finish,
    });
    const outcome = toOutcome(result, server);
    // The run leaves the table first, so that an action on the same id that
    // the dispatcher emits now cannot end it a second time.
    const isOver = outcome !== undefined && this.#runs.delete(id);
    const draining = result.type === "refused" && result.draining;
    this.#send({ type: "finish", id, result: finish, draining });
    if (!isOver) return;
    this.#options.quarantine.release(id);
    const nowMs = this.#nowMs();
    if (result.type === "connection_lost" && this.#canRetry(run, nowMs)) {
      this.#admit(createGroupRun({ ...run, avoid: [server] }));
    } else {
      run.resolve(outcome);
    }
  }

  #canRetry({ execution, retried }: GroupRun, nowMs: number): boolean {
    if (!execution.repeatable || retried) return false;
    // Only the home region retries: a request that crashes servers would cost
    // two in each region before the suspicion has spread.
    if (this.#isShifted(execution)) return false;
    if (this.#refuse(execution, nowMs) !== undefined) return false;
    const event = { type: "retry", id: execution.requestId } as const;
    return this.#budget.handle(event, nowMs)
      .some((action) => action.type === "granted");
  }

  #endRun(id: string, outcome: Outcome): void {
    const run = this.#runs.get(id);
    if (run === undefined) return;
    this.#runs.delete(id);
    this.#options.quarantine.release(id);
    this.#withdraw(run);
    // The first run of a retried request may have taken effect.
    const isLost = run.retried && outcome.type === "not-run";
    run.resolve(
      isLost ? { type: "unknown", reason: "connection-lost" } : outcome,
    );
  }

  /** Time by which a shifted request must be sent, so that the cap holds. */
  #computeSendBy({ admittedAtMs }: GroupRun): number | undefined {
    if (admittedAtMs === undefined) return undefined;
    return admittedAtMs + this.#windowMs * SHIFT_WAIT_SHARE;
  }

  /** Gives the place under the cap back; the request was never sent. */
  #withdraw({ admittedAtMs, isSent }: GroupRun): void {
    if (admittedAtMs === undefined || isSent) return;
    this.gate.handle({ type: "withdraw", admittedAtMs }, this.#nowMs());
  }

  #cancel(abort: AbortController): void {
    for (const [id, run] of this.#runs) {
      if (run.abort !== abort) continue;
      this.#send({ type: "cancel", id });
      abort.abort();
      this.#endRun(id, { type: "unknown", reason: "caller-left" });
    }
  }
}
