/**
 * Runs the requests of one target group that this process owns.
 *
 * @module
 */

import type {
  DispatchAction,
  Dispatcher,
  DispatchEvent,
  ListedServer,
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
import { makeNotRun } from "../request/not_run.ts";
import { createGroupMachines } from "./group_machines.ts";
import type { GroupLimits } from "./group_machines.ts";
import type { GroupOwner, GroupOwnerOptions } from "./group_owner_types.ts";
import { createMachineDriver } from "./machine_driver.ts";
import type { MachineDriver } from "./machine_driver.ts";
import { toFinishResult, toOutcome } from "./send_results.ts";
import type { SendResult } from "./send_results.ts";
import { computeShiftWaitMs, ShiftAdmission } from "./shift_admission.ts";

/** Maximum number of queued requests of a group. */
const MAX_QUEUE = 256;
/** Transit allowance between the server's deadline and the end of authority. */
const AUTHORITY_MARGIN_MS = 200;
/** Wait that refusals made by this module suggest to the caller. */
const CLOSED_RETRY_MS = 100;

/** Creates the owner of a group; its authority starts now. */
export function createGroupOwner(options: GroupOwnerOptions): GroupOwner {
  return new GroupOwnerTask(options);
}

type SendAction = Extract<DispatchAction, { type: "send" }>;

interface FinishedSend {
  readonly run: GroupRun;
  readonly send: AbortController;
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
  readonly #shifts: ShiftAdmission;
  readonly #runs = new Map<string, GroupRun>();
  #nextRun = 0;

  constructor(options: GroupOwnerOptions) {
    this.#options = options;
    this.service = options.service;
    this.region = options.region;
    this.fence = options.fence;
    const { document } = options;
    const startedAtMs = this.#nowMs();
    const machines = createGroupMachines(options, {
      startedAtMs,
      jitterMs: computeShiftWaitMs(document.shift),
      transitMs: AUTHORITY_MARGIN_MS,
      limits: this.#readLimits(document),
    });
    this.gate = machines.gate;
    this.#budget = machines.budget;
    this.dispatcher = machines.dispatcher;
    this.#driver = this.#createDriver();
    this.#shifts = new ShiftAdmission({
      region: options.region,
      gate: machines.gate,
      quarantine: options.quarantine.quarantine,
      windowMs: document.shift.windowMs,
      startedAtMs,
    });
  }

  execute(execution: Execution, signal: AbortSignal): Promise<Outcome> {
    if (signal.aborted) {
      return Promise.resolve({ type: "unknown", reason: "caller-left" });
    }
    const nowMs = this.#nowMs();
    const refused = this.#findRefusal(execution, nowMs);
    if (refused !== undefined) return Promise.resolve(refused);
    this.#budget.handle({ type: "request" }, nowMs);
    return new Promise((resolve) => {
      signal.addEventListener("abort", () => this.#cancel(signal), {
        once: true,
      });
      const admittedAtMs = this.#shifts.findAdmittedAt(execution, nowMs);
      this.#admit(
        createGroupRun({ execution, resolve, signal, admittedAtMs, avoid: [] }),
      );
    });
  }

  setDocument(document: ServiceDocument): void {
    const nowMs = this.#nowMs();
    this.#shifts.setLimits(document.shift, nowMs);
    this.#budget.handle({ type: "settings", limits: document.retry }, nowMs);
    this.#send({ type: "limits", ...this.#readLimits(document) });
  }

  setServers(servers: readonly ListedServer[]): void {
    this.#send({ type: "servers", servers });
  }

  setOperatorDrains(instances: readonly string[]): void {
    this.#send({ type: "operator_drains", instances });
  }

  reportServer(server: string, source: ServerSource, state: ServerState): void {
    this.#send({ type: "server_state", server, source, state });
  }

  tick(): void {
    this.#shifts.tick(this.#nowMs());
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
        abort: ({ id }) => this.#runs.get(id)?.send?.abort(),
        expire_in_flight: ({ id }) =>
          this.#endRun(id, { type: "unknown", reason: "deadline-passed" }),
        idle: () => this.#options.onIdle(),
      },
    });
  }

  /** Sends an event, preceded by the current end of authority. */
  #send(event: DispatchEvent): void {
    const untilMs = this.#options.authorityUntilMs();
    this.#driver.send({ type: "authority", untilMs });
    this.#driver.send(event);
  }

  /** Returns the refusal of a request that may not run here; otherwise takes
   * its place under the shift cap. */
  #findRefusal(execution: Execution, nowMs: number): NotRun | undefined {
    if (this.dispatcher.closed) return makeNotRun("closing", CLOSED_RETRY_MS);
    if (this.#options.authorityUntilMs() <= nowMs) {
      return makeNotRun("authority-lapsed", CLOSED_RETRY_MS);
    }
    return this.#shifts.admit(execution, nowMs);
  }

  #admit(run: GroupRun): void {
    const { execution } = run;
    // The id includes the service: groups of a process share the quarantine.
    const id = `${this.service}/${this.fence}-${this.#nextRun++}`;
    this.#runs.set(id, run);
    const admission = {
      id,
      service: this.service,
      fingerprint: execution.fingerprint,
    };
    this.#options.quarantine.admit(admission, {
      run: (trial) => this.#submit(id, run, trial),
      recall: () => this.#recall(id, run),
      refuse: (retryAfterMs) =>
        this.#endRun(id, makeNotRun("quarantined", retryAfterMs)),
    });
  }

  /** Takes a run back from the dispatcher. */
  #recall(id: string, run: GroupRun): void {
    // Any event before this one, such as the authority, could send the request
    // now.
    this.#driver.send({ type: "cancel", id });
    run.send = undefined;
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
        sendByMs: this.#shifts.computeSendBy(run),
      },
    });
  }

  async #sendToServer(action: SendAction): Promise<void> {
    const { id, server, address, deadlineMs } = action;
    const run = this.#runs.get(id);
    if (run === undefined) return;
    const startedMs = this.#nowMs();
    const send = new AbortController();
    run.isSent = true;
    run.send = send;
    this.#options.quarantine.send({ type: "start", id, server });
    const result = await this.#options.backend.send({
      ...run.request,
      address,
      deadlineMs,
      signal: send.signal,
      workLimitMs: () =>
        this.#options.authorityUntilMs() - this.#nowMs() - AUTHORITY_MARGIN_MS,
    });
    // The run has ended or was recalled. The dispatcher keeps its slot in use
    // for a grace period.
    if (result.type === "cancelled") return;
    this.#finishSend({ run, send, action, result, startedMs });
  }

  #finishSend({ run, send, action, result, startedMs }: FinishedSend): void {
    const { id, server } = action;
    const finish = toFinishResult(result);
    if (result.type === "answered") {
      this.#shifts.monitor.recordAnswer(this.#nowMs() - startedMs);
    } else {
      this.#shifts.monitor.recordFailure();
    }
    this.#options.quarantine.send({
      type: "finish",
      id,
      // An incomplete answer by itself is not a crash, although the dispatcher
      // holds its slot as for a lost connection.
      result: result.type === "incomplete_answer" ? result.type : finish,
    });
    const outcome = toOutcome(result, server);
    // Remove the run first: the dispatcher may now emit an action for the same
    // id, which must not end the run a second time.
    const isOver = outcome !== undefined && this.#runs.delete(id);
    const draining = result.type === "refused" && result.draining;
    if (run.send === send) {
      this.#send({ type: "finish", id, result: finish, draining });
    } else {
      // The quarantine has just recalled the run: the dispatcher has dropped
      // this send, and may have begun another one.
      this.#reportRefusal(server, result);
    }
    if (!isOver) return;
    this.#options.quarantine.release(id);
    const nowMs = this.#nowMs();
    if (result.type === "connection_lost" && this.#canRetry(run, nowMs)) {
      this.#admit(createGroupRun({ ...run, avoid: [server] }));
    } else {
      run.resolve(outcome);
    }
  }

  #reportRefusal(server: string, result: SendResult): void {
    if (result.type === "refused" && result.draining) {
      this.reportServer(server, "refusal", "draining");
    } else if (result.type === "connection_refused") {
      this.reportServer(server, "health", "unreachable");
    }
  }

  #canRetry({ execution, retried }: GroupRun, nowMs: number): boolean {
    if (!execution.repeatable || retried) return false;
    // Only the home region retries: otherwise a request that crashes servers
    // could crash two in each region before all regions suspect it.
    if (this.#shifts.isShifted(execution)) return false;
    if (this.#findRefusal(execution, nowMs) !== undefined) return false;
    const event = { type: "retry", id: execution.requestId } as const;
    return this.#budget.handle(event, nowMs)
      .some((action) => action.type === "granted");
  }

  #endRun(id: string, outcome: Outcome): void {
    const run = this.#runs.get(id);
    if (run === undefined) return;
    this.#runs.delete(id);
    this.#options.quarantine.release(id);
    this.#shifts.withdraw(run, this.#nowMs());
    // The first run of a retried request may have taken effect.
    const isLost = run.retried && outcome.type === "not-run";
    run.resolve(
      isLost ? { type: "unknown", reason: "connection-lost" } : outcome,
    );
  }

  #cancel(signal: AbortSignal): void {
    for (const [id, run] of this.#runs) {
      if (run.signal !== signal) continue;
      this.#send({ type: "cancel", id });
      this.#endRun(id, { type: "unknown", reason: "caller-left" });
    }
  }
}
