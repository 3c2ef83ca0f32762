/**
 * Simulated network of membership state machines, for tests.
 *
 * @module
 */

import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { createMembership } from "./membership.ts";
import type { MembershipMessage } from "./messages.ts";
import type {
  Membership,
  MembershipAction,
  MembershipEvent,
  MembershipTimings,
} from "./options.ts";

/** A simulated process. */
export interface Node {
  readonly id: string;
  readonly region: string;
  readonly machine: Membership;
  state: "running" | "frozen" | "stopped";
  held: MembershipEvent[];
}

/** Size, message loss, seeds and timings of a network. */
export interface NetworkOptions {
  readonly seed: number;
  readonly regions: number;
  readonly size: number;
  readonly loss?: number;
  readonly seeds?: readonly string[];
  readonly timings?: Partial<MembershipTimings>;
}

/** Delivers messages between state machines with a virtual clock. */
export class Network {
  readonly nodes = new Map<string, Node>();
  readonly deaths: { by: string; of: string; atMs: number }[] = [];
  readonly messages: { from: string; message: MembershipMessage }[] = [];
  recording = false;
  nowMs = 0;
  blocked: (from: Node, to: Node) => boolean = () => false;
  /** Called when the node at `address` announced another version to `node`. */
  onDigest: (node: Node, address: string, sequence: number) => void = () => {};
  #queue = new Map<
    number,
    { from: string; to: string; event: MembershipEvent }[]
  >();
  readonly #options: NetworkOptions;
  readonly random: () => number;

  constructor(options: NetworkOptions) {
    const generator = xoroshiro128plus(options.seed);
    this.random = () => (generator.next() >>> 0) / 2 ** 32;
    this.#options = options;
    for (let region = 0; region < options.regions; region += 1) {
      for (let n = 0; n < options.size; n += 1) this.add(`r${region}n${n}`);
    }
  }

  add(id: string, address = id): Node {
    const region = id.slice(0, 2);
    const machine = createMembership({
      self: {
        instance: id,
        processId: id,
        incarnation: 0,
        peerAddress: address,
        callerAddress: `caller-${address}`,
        region,
        zone: `${region}${id.length % 2}`,
        capacity: 1_000,
      },
      seeds: this.#options.seeds ?? ["r0n0", "r0n1", "r1n0", "r2n0"],
      random: this.random,
      timings: this.#options.timings,
    });
    const node: Node = { id, region, machine, state: "running", held: [] };
    this.nodes.set(address, node);
    this.apply(node, { type: "start" });
    return node;
  }

  get(id: string): Node {
    return this.nodes.get(id)!;
  }

  running(region?: string): Node[] {
    return [...this.nodes.values()].filter((node) =>
      node.state === "running" && (!region || node.region === region)
    );
  }

  apply(node: Node, event: MembershipEvent): void {
    if (node.state === "stopped") return;
    if (node.state === "frozen") {
      if (event.type === "message") node.held.push(event);
      return;
    }
    for (const action of node.machine.handle(event, this.nowMs)) {
      this.#applyAction(node, action);
    }
  }

  /** Resumes a frozen node; messages sent meanwhile are delivered or dropped. */
  wake(node: Node, held: "delivered" | "dropped" = "delivered"): void {
    node.state = "running";
    const events = node.held.splice(0);
    if (held === "dropped") return;
    for (const event of events) this.apply(node, event);
  }

  runFor(ms: number, each?: () => boolean): void {
    const endMs = this.nowMs + ms;
    while (this.nowMs < endMs) {
      this.nowMs += 1;
      for (const { to, event } of this.#queue.get(this.nowMs) ?? []) {
        const node = this.nodes.get(to);
        if (node) this.apply(node, event);
      }
      this.#queue.delete(this.nowMs);
      if (this.nowMs % 100 !== 0) continue;
      for (const node of this.nodes.values()) {
        this.apply(node, { type: "tick" });
      }
      if (each?.()) return;
    }
  }

  #applyAction(node: Node, action: MembershipAction): void {
    if (action.type === "member_changed" && action.state === "dead") {
      const of = action.member.processId;
      this.deaths.push({ by: node.id, of, atMs: this.nowMs });
    }
    if (action.type === "digest") {
      this.onDigest(node, action.address, action.sequence);
    }
    if (action.type !== "send") return;
    const { address, message } = action;
    if (this.recording) this.messages.push({ from: node.id, message });
    const target = this.nodes.get(address);
    if (!target || this.blocked(node, target)) return;
    if (this.random() < (this.#options.loss ?? 0)) return;
    const delay = node.region === target.region ? 1 : 35;
    const atMs = this.nowMs + delay + Math.floor(this.random() * 3);
    const event: MembershipEvent = {
      type: "message",
      fromAddress: node.id,
      message: structuredClone(message),
    };
    const due = this.#queue.get(atMs) ?? [];
    due.push({ from: node.id, to: address, event });
    this.#queue.set(atMs, due);
  }
}
