/**
 * Processes of one region with drifting clocks and a faulty network, for
 * property tests.
 *
 * @module
 */

import { createOwnership } from "./mod.ts";
import type {
  Ownership,
  OwnershipAction,
  OwnershipEvent,
  OwnershipTimings,
} from "./mod.ts";
import {
  createRandom,
  MemoryTable,
  submitRead,
  submitTransaction,
  VirtualTime,
} from "./table_fixture.ts";

/** Resources of the region. */
export const RESOURCES = [
  "groups/slot-finder/zapad",
  "groups/booking-desk/zapad",
];

/** For tests that check one moment, at which a handover would interfere. */
const WITHOUT_REBALANCING = { settleMs: Number.MAX_SAFE_INTEGER };

/** Options of a simulated region. */
export interface WorldOptions {
  readonly resources?: readonly string[];
  /** The default disables rebalancing. */
  readonly timings?: Partial<OwnershipTimings>;
}

/** A simulated process with its own clock. */
export interface Process {
  readonly index: number;
  /** Instance id; a restarted process keeps it. */
  readonly instance: string;
  readonly address: string;
  readonly machine: Ownership;
  /** Milliseconds of its clock per millisecond of true time. */
  readonly rate: number;
  readonly zone: string;
  /** True time by which requests sent under its authority end, by resource. */
  readonly workUntilMs: Map<string, number>;
  /** Resources drained for a handover. */
  readonly drained: Set<string>;
  readonly inbox: OwnershipEvent[];
  state: "running" | "frozen" | "ended";
  lossRate: number;
}

type Handle<Type> = (
  action: Extract<OwnershipAction, { type: Type }>,
  from: Process,
) => void;

/** Simulation of the processes of one region, their table and their network. */
export class World {
  readonly time = new VirtualTime();
  readonly table = new MemoryTable();
  readonly processes: Process[] = [];
  readonly violations: string[] = [];
  readonly opened: string[] = [];
  readonly cuts = new Set<string>();
  readonly random: () => number;
  readonly resources: readonly string[];
  /** Number of handovers started. */
  drains = 0;
  /** Number of handovers completed. */
  moves = 0;
  readonly #timings: Partial<OwnershipTimings>;
  storeLoss = 0;
  messageLoss = 0;

  readonly #handlers: {
    [Type in OwnershipAction["type"]]?: Handle<Type>;
  } = {
    transact: ({ operationId, transaction }, from) =>
      submitTransaction(
        this.#access(from),
        transaction,
        (result) =>
          this.deliver(from, { type: "transacted", operationId, result }),
      ),
    read: ({ operationId, key }, from) =>
      submitRead(
        this.#access(from),
        key,
        (result) =>
          this.deliver(from, { type: "rows_read", operationId, result }),
      ),
    request_promise: (action, from) =>
      this.#send(from, action.to, { ...action, type: "promise_requested" }),
    answer_promise: (action, from) =>
      this.#send(from, action.to, { ...action, type: "promise_answered" }),
    opened: ({ resource }, from) => {
      from.drained.delete(resource);
      this.opened.push(resource);
    },
    closed: ({ resource, reason }, from) => {
      const hasEnded = from.drained.delete(resource);
      if (reason === "handed-over" && hasEnded) {
        from.workUntilMs.delete(resource);
      }
    },
    handing_over: ({ resource }, from) => {
      this.drains++;
      this.time.after(this.random() * 2_000, () => {
        from.drained.add(resource);
        this.deliver(from, { type: "drained", resource });
      });
    },
    handed_over: ({ resource, to }, from) => {
      this.moves++;
      this.#send(from, to, { type: "row_changed", resource });
    },
    left: (_action, from) => void (from.state = "ended"),
  };

  constructor(seed: number, count: number, options: WorldOptions = {}) {
    this.random = createRandom(seed);
    this.resources = options.resources ?? RESOURCES;
    this.#timings = options.timings ?? WITHOUT_REBALANCING;
    for (let index = 0; index < count; index++) this.addProcess();
    this.time.after(0, () => this.#announce());
  }

  /** Starts a process on a new instance, or restarts an earlier process. */
  addProcess(restarted?: Process): void {
    const index = this.processes.length;
    const location = {
      instance: restarted?.instance ?? `entry-${index}`,
      zone: restarted?.zone ?? (index % 2 === 0 ? "a" : "b"),
      address: restarted?.address ?? `127.0.0.1:${7_000 + index}`,
    };
    const process: Process = {
      index,
      ...location,
      machine: createOwnership({
        identity: {
          ...location,
          region: "zapad",
          processId: `process-${index}`,
        },
        random: this.random,
        timings: this.#timings,
      }),
      rate: this.random() < 0.5 ? 0.99 : 1.01,
      workUntilMs: new Map(),
      drained: new Set(),
      inbox: [],
      state: "running",
      lossRate: 0,
    };
    this.processes.push(process);
    this.deliver(process, { type: "resources", resources: this.resources });
    this.deliver(process, { type: "start" });
    this.time.after(this.random() * 250, () => this.#tick(process));
  }

  deliver(process: Process, event: OwnershipEvent): void {
    if (process.state === "ended") return;
    if (process.state === "frozen") return void process.inbox.push(event);
    const nowMs = this.localMs(process);
    for (const action of process.machine.handle(event, nowMs)) {
      const handle = this.#handlers[action.type] as Handle<string> | undefined;
      handle?.(action as never, process);
    }
    this.#check(process, nowMs);
  }

  /** Suspends a process; its events are delivered when it resumes. */
  freeze(process: Process, durationMs: number): void {
    if (process.state !== "running") return;
    process.state = "frozen";
    this.time.after(durationMs, () => {
      if (process.state === "ended") return;
      process.state = "running";
      process.inbox.splice(0).forEach((event) => this.deliver(process, event));
    });
  }

  owners(resource: string): Process[] {
    return this.processes.filter((process) =>
      process.state !== "ended" &&
      process.machine.authorityUntilMs(resource, this.localMs(process)) > 0
    );
  }

  localMs(process: Process): number {
    return 1_000 * (1 + process.index) + this.time.nowMs * process.rate;
  }

  /** Records a violation if two processes have authority over a resource. */
  #check(process: Process, nowMs: number): void {
    for (const resource of this.resources) {
      const untilMs = process.machine.authorityUntilMs(resource, nowMs);
      if (untilMs <= nowMs) continue;
      const endMs = this.time.nowMs + (untilMs - nowMs) / process.rate;
      const previousMs = process.workUntilMs.get(resource) ?? 0;
      process.workUntilMs.set(resource, Math.max(endMs, previousMs));
      for (const other of this.processes) {
        const otherMs = other.workUntilMs.get(resource) ?? 0;
        if (other === process || otherMs <= this.time.nowMs) continue;
        this.violations.push(
          `${resource} at ${this.time.nowMs}: ${process.index} beside ${other.index} until ${otherMs}`,
        );
      }
    }
  }

  #access(process: Process) {
    const lossRate = () => Math.max(this.storeLoss, process.lossRate);
    return {
      time: this.time,
      table: this.table,
      random: this.random,
      lossRate,
    };
  }

  #send(from: Process, incarnation: number, event: OwnershipEvent): void {
    const delayMs = this.random() < 0.02
      ? this.random() * 15_000
      : 1 + this.random() * 40;
    this.time.after(delayMs, () => {
      const to = this.processes.find(({ machine, state }) =>
        state !== "ended" && machine.incarnation() === incarnation
      );
      if (to === undefined || this.cuts.has(`${from.index}>${to.index}`)) {
        return;
      }
      if (this.random() >= this.messageLoss) this.deliver(to, event);
    });
  }

  #tick(process: Process): void {
    if (process.state === "ended") return;
    this.deliver(process, { type: "tick" });
    this.time.after(250, () => this.#tick(process));
  }

  /**
   * Sends the live members and the platform's lagging list to all processes.
   */
  #announce(): void {
    const present = this.processes.filter(({ state }) => state !== "ended");
    const ids = present.map(({ instance }) => instance);
    const members = present
      .filter(({ machine, state }) =>
        state === "running" && machine.status().phase === "live"
      )
      .map(({ instance, zone, address, machine }) => {
        const incarnation = machine.incarnation();
        return { incarnation, instance, zone, address };
      });
    for (const process of present) {
      const received = members.filter(() =>
        this.random() >= this.messageLoss / 4
      );
      this.deliver(process, { type: "members", members: received });
      this.time.after(
        this.random() * 3_000,
        () => this.deliver(process, { type: "instances", ids }),
      );
    }
    this.time.after(1_000, () => this.#announce());
  }
}

/** Throws unless each resource has exactly one owner and never had two. */
export function assertSingleOwners(world: World): void {
  const status = world.processes
    .filter(({ state }) => state !== "ended")
    .map(({ index, machine }) => [index, machine.status()]);
  const closed = world.resources.filter((name) =>
    world.owners(name).length !== 1 && !isLeftToOperator(world, name)
  );
  const problems = [...world.violations, ...closed].slice(0, 4);
  if (problems.length > 0) {
    throw new Error(JSON.stringify({ problems, status }));
  }
}

/**
 * Returns true if the owner or deputy ended before the list showed it. Others
 * must assume that it still runs, so only an operator can free the resource.
 */
function isLeftToOperator(world: World, resource: string): boolean {
  const row = world.table.read(resource).value as Record<string, number>;
  return [row.owner, row.deputy].some((incarnation) => {
    const { value } = world.table.read(`sessions/${incarnation}`);
    const session = value as { listed: boolean; processId: string } | null;
    const process = world.processes.find(({ index }) =>
      session?.processId === `process-${index}`
    );
    return session?.listed === false && process?.state === "ended";
  });
}
