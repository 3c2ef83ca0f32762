/**
 * Simulation in virtual time of two processes that own resources, with their
 * table and their messages.
 *
 * @module
 */

import { createOwnership } from "@dotterelmoor/core.ownership";
import type {
  Ownership,
  OwnershipAction,
  OwnershipEvent,
} from "@dotterelmoor/core.ownership";
import { createRecorder } from "@dotterelmoor/core.recording";
import type {
  JsonValue,
  TableRow,
  TableTransaction,
  TransactResult,
} from "@dotterelmoor/core.types";

/** Resource that both processes compete for. */
export const RESOURCE = "groups/booking-desk/zapad";

const TICK_INTERVAL_MS = 500;
const PUBLISH_INTERVAL_MS = 3_000;
const STORE_LATENCY_MS = 10;
const MESSAGE_LATENCY_MS = 5;
const STORE_TIMEOUT_MS = 1_500;

/** A simulated process of the region. */
export interface SimulatedProcess {
  readonly name: string;
  readonly zone: string;
  readonly address: string;
  readonly machine: Ownership;
  readonly emittedActions: OwnershipAction[];
  /** Times in milliseconds of the last opening and closing; 0 if none. */
  openedAtMs: number;
  closedAtMs: number;
  state: "running" | "frozen" | "ended";
  /** Events that arrived while the process was frozen. */
  readonly inbox: OwnershipEvent[];
}

/** Options of a simulation. */
export interface SimulationOptions {
  /** Resources that both processes compete for; `RESOURCE` by default. */
  readonly resources?: readonly string[];
  /** Names of the processes whose trace lines are recorded; both by default. */
  readonly recorded?: readonly string[];
}

interface ScheduledTask {
  readonly atMs: number;
  readonly run: () => void;
}

/** Simulates the processes `a` and `b` in two zones; `a` starts first. */
export class Simulation {
  readonly lines: string[] = [];
  readonly a: SimulatedProcess;
  readonly b: SimulatedProcess;
  /** Processes that get no response from the store. */
  readonly disconnectedFromStore = new Set<SimulatedProcess>();
  /** Resources whose messages between processes are lost. */
  readonly lossyResources = new Set<string>();
  nowMs = 0;
  readonly #rows = new Map<string, TableRow>();
  readonly #versions = new Map<string, number>();
  #queue: ScheduledTask[] = [];

  readonly #resources: readonly string[];
  readonly #recorded: readonly string[];

  constructor(options: SimulationOptions = {}) {
    this.#resources = options.resources ?? [RESOURCE];
    this.#recorded = options.recorded ?? ["a", "b"];
    this.a = this.#addProcess("a", 0);
    this.b = this.#addProcess("b", 3_000);
    this.after(100, () => this.#publishMembers());
  }

  /** Advances the time by a duration and runs the tasks that become due. */
  runFor(durationMs: number): void {
    const endMs = this.nowMs + durationMs;
    for (;;) {
      const [next] = this.#queue.toSorted((a, b) => a.atMs - b.atMs);
      if (next === undefined || next.atMs > endMs) break;
      this.#queue = this.#queue.filter((item) => item !== next);
      this.nowMs = next.atMs;
      next.run();
    }
    this.nowMs = endMs;
  }

  /** Schedules a task. */
  after(delayMs: number, run: () => void): void {
    this.#queue.push({ atMs: this.nowMs + delayMs, run });
  }

  /** Resumes a frozen process and delivers the events held in its inbox. */
  resume(process: SimulatedProcess): void {
    process.state = "running";
    for (const event of process.inbox.splice(0)) this.deliver(process, event);
  }

  /** Handles an event and applies the resulting actions. */
  deliver(process: SimulatedProcess, event: OwnershipEvent): void {
    if (process.state === "ended") return;
    if (process.state === "frozen") return void process.inbox.push(event);
    for (const action of process.machine.handle(event, this.nowMs)) {
      process.emittedActions.push(action);
      this.#apply(process, action);
    }
  }

  /** Returns the end of a process's authority over a resource, or 0. */
  getAuthorityUntilMs(process: SimulatedProcess, resource = RESOURCE): number {
    return process.machine.authorityUntilMs(resource, this.nowMs);
  }

  #addProcess(name: string, startMs: number): SimulatedProcess {
    const zone = `zapad-${name}`;
    const address = `127.0.0.1:${name === "a" ? 7_001 : 7_002}`;
    const location = { instance: `entry-${name}`, zone, address };
    let draws = 0;
    const machine = createRecorder<
      Parameters<typeof createOwnership>[0],
      OwnershipEvent,
      OwnershipAction,
      Ownership
    >({
      module: "ownership",
      instance: name,
      create: createOwnership,
      options: {
        identity: {
          ...location,
          region: "zapad",
          processId: `process-${name}`,
        },
        random: () => (++draws * 0.37) % 1,
      },
      nowMs: this.nowMs,
      write: (line) => {
        if (this.#recorded.includes(name)) this.lines.push(line);
      },
    });
    const process: SimulatedProcess = {
      ...location,
      name,
      machine,
      emittedActions: [],
      openedAtMs: 0,
      closedAtMs: 0,
      state: "running",
      inbox: [],
    };
    this.after(startMs, () => {
      this.deliver(process, { type: "resources", resources: this.#resources });
      this.deliver(process, { type: "start" });
      this.#tick(process);
    });
    return process;
  }

  #tick(process: SimulatedProcess): void {
    if (process.state === "running") this.deliver(process, { type: "tick" });
    if (process.state !== "ended") {
      this.after(TICK_INTERVAL_MS, () => this.#tick(process));
    }
  }

  /** Sends every process the live members and the platform's instance list. */
  #publishMembers(): void {
    const present = [this.a, this.b].filter(({ state }) => state !== "ended");
    const ids = present.map(({ name }) => `entry-${name}`);
    const members = present
      .filter(({ machine, state }) =>
        state === "running" && machine.status().phase === "live"
      )
      .map(({ name, zone, address, machine }) => ({
        instance: `entry-${name}`,
        incarnation: machine.incarnation(),
        zone,
        address,
      }));
    for (const process of present) {
      if (process.state === "frozen") continue;
      this.deliver(process, { type: "members", members });
      this.deliver(process, { type: "instances", ids });
    }
    this.after(PUBLISH_INTERVAL_MS, () => this.#publishMembers());
  }

  #apply(process: SimulatedProcess, action: OwnershipAction): void {
    if (action.type === "transact") {
      const { operationId, transaction } = action;
      this.#answerFromStore(process, (isDown) => ({
        type: "transacted",
        operationId,
        result: isDown ? { type: "unavailable" } : this.#transact(transaction),
      }));
    } else if (action.type === "read") {
      const { operationId, key } = action;
      this.#answerFromStore(process, (isDown) => ({
        type: "rows_read",
        operationId,
        result: isDown
          ? { type: "unavailable" }
          : { type: "rows", rows: [this.#read(key)] },
      }));
    } else if (action.type === "request_promise") {
      this.#send(action.to, { ...action, type: "promise_requested" });
    } else if (action.type === "answer_promise") {
      this.#send(action.to, { ...action, type: "promise_answered" });
    } else if (action.type === "opened") {
      process.openedAtMs = this.nowMs;
    } else if (action.type === "closed") {
      process.closedAtMs = this.nowMs;
    }
  }

  #answerFromStore(
    process: SimulatedProcess,
    run: (isDown: boolean) => OwnershipEvent,
  ): void {
    const isDown = this.disconnectedFromStore.has(process);
    this.after(isDown ? STORE_TIMEOUT_MS : STORE_LATENCY_MS, () => {
      this.deliver(process, run(isDown));
    });
  }

  #send(
    incarnation: number,
    event: OwnershipEvent & { readonly resource: string },
  ): void {
    if (this.lossyResources.has(event.resource)) return;
    this.after(MESSAGE_LATENCY_MS, () => {
      const to = [this.a, this.b].find(({ machine }) =>
        machine.incarnation() === incarnation
      );
      if (to !== undefined) this.deliver(to, event);
    });
  }

  #read(key: string): TableRow {
    return this.#rows.get(key) ?? { key, version: 0, value: null };
  }

  #transact({ checks, writes }: TableTransaction): TransactResult {
    const conflicts = checks
      .filter(({ key, version }) => this.#read(key).version !== version)
      .map(({ key }) => this.#read(key));
    if (conflicts.length > 0) return { type: "conflict", rows: conflicts };
    const versions = Object.fromEntries(
      writes.map(({ key, value }) => [key, this.#write(key, value)]),
    );
    return { type: "committed", versions };
  }

  #write(key: string, value: JsonValue): number {
    const version = (this.#versions.get(key) ?? 0) + 1;
    this.#versions.set(key, version);
    if (value === null) this.#rows.delete(key);
    else this.#rows.set(key, { key, version, value });
    return version;
  }
}
