/**
 * Simulated fleet of entries in several regions. It runs the product's
 * membership and configuration state machines under a virtual clock and counts
 * the encoded bytes of the messages.
 *
 * @module
 */

import { createConfigurationReplica } from "@dotterelmoor/core.configuring";
import type {
  ConfigurationEvent,
  ConfigurationReplica,
} from "@dotterelmoor/core.configuring";
import { createMembership } from "@dotterelmoor/core.membership";
import type {
  Membership,
  MembershipAction,
  MembershipEvent,
  MembershipMessage,
} from "@dotterelmoor/core.membership";
import { Encoder } from "cbor-x";
import { VirtualClock } from "../policies/virtual_clock.ts";
import { buildEmptySnapshot } from "./samples.ts";

const TICK_INTERVAL_MS = 100;
/** Interval at which the daemon publishes the states of its groups. */
const PUBLISH_INTERVAL_MS = 500;
/** Interval at which the daemon passes the live peers to the configuration. */
const PEERS_INTERVAL_MS = 500;
/** Size of the length prefix of a frame. */
const FRAME_BYTES = 4;

/** Encoder with the settings of the peer protocol. */
const codec = new Encoder({
  useRecords: false,
  mapsAsObjects: true,
  tagUint8Array: false,
});

/** Options of `Fleet`. */
export interface FleetOptions {
  /** Number of entries. */
  readonly nodes: number;
  /** Number of regions; nodes are assigned to them in turn. */
  readonly regions: number;
  /** Number of services, each with a group in each region. */
  readonly services: number;
  /** Share of the messages that are lost, from 0 to 1. */
  readonly loss: number;
  readonly random: () => number;
}

/** One entry of the fleet. */
export interface FleetNode {
  readonly id: number;
  readonly region: string;
  readonly membership: Membership;
  readonly replica: ConfigurationReplica;
}

/** Messages and encoded bytes sent by all nodes. */
export interface Traffic {
  /** Membership messages. */
  messages: number;
  /** Encoded bytes of the membership messages. */
  bytes: number;
  /** Encoded bytes of the largest message. */
  largest: number;
  /** Membership messages of type `summary`. */
  summaries: number;
  /** Encoded bytes of the summaries. */
  summaryBytes: number;
  /** Configuration snapshots sent by a push or in response to a pull. */
  snapshots: number;
}

/** Runs the entries and counts the messages that they send. */
export class Fleet {
  readonly clock = new VirtualClock();
  readonly nodes: FleetNode[] = [];
  traffic: Traffic = buildTraffic();
  /** Configuration reads from the store while traffic was measured. */
  storeReads = 0;
  #isCounting = false;
  readonly #options: FleetOptions;

  constructor(options: FleetOptions) {
    this.#options = options;
    for (let id = 0; id < options.nodes; id += 1) this.#addNode(id);
    for (const node of this.nodes) this.#startNode(node);
  }

  /** Runs for a virtual duration and returns the traffic in it. */
  measureTraffic(durationMs: number): Traffic {
    this.traffic = buildTraffic();
    this.#isCounting = true;
    this.clock.runUntil(this.clock.nowMs + durationMs);
    this.#isCounting = false;
    return this.traffic;
  }

  /** Commits an empty configuration at the first node. */
  commit(sequence: number): void {
    const snapshot = buildEmptySnapshot(sequence);
    this.#handleConfiguration(this.nodes[0]!, {
      type: "snapshot",
      snapshot,
      source: "commit",
    });
  }

  /**
   * Returns the milliseconds, in steps of 5, until all nodes have applied a
   * sequence number; Infinity if they haven't within the limit.
   */
  measureSpread(sequence: number, limitMs: number): number {
    const startMs = this.clock.nowMs;
    while (this.clock.nowMs < startMs + limitMs) {
      this.clock.runUntil(this.clock.nowMs + 5);
      const done = this.nodes.every((node) =>
        node.replica.status().sequence >= sequence
      );
      if (done) return this.clock.nowMs - startMs;
    }
    return Infinity;
  }

  #addNode(id: number): void {
    const { regions, random } = this.#options;
    const region = `region-${id % regions}`;
    const seeds = Array.from({ length: 2 * regions }, (_, n) => `${n}`);
    const membership = createMembership({
      self: {
        instance: `entry-${id}`,
        processId: `p-${id.toString(36).padStart(20, "0")}`,
        incarnation: id + 1,
        peerAddress: `${id}`,
        callerAddress: `10.0.${id >> 8}.${id & 255}:8080`,
        region,
        zone: `${region}-${Math.floor(id / regions) % 4}`,
        capacity: 1_000,
      },
      seeds,
      random,
    });
    const replica = createConfigurationReplica({ seeds, random });
    this.nodes.push({ id, region, membership, replica });
  }

  #startNode(node: FleetNode): void {
    const { random } = this.#options;
    this.#handleMembership(node, { type: "start" });
    const snapshot = buildEmptySnapshot(1);
    this.#handleConfiguration(node, {
      type: "snapshot",
      snapshot,
      source: "store",
    });
    this.#runPeriodically(TICK_INTERVAL_MS * random(), TICK_INTERVAL_MS, () => {
      this.#handleMembership(node, { type: "tick" });
      this.#handleConfiguration(node, { type: "tick" });
    });
    this.#runPeriodically(
      PEERS_INTERVAL_MS * random(),
      PEERS_INTERVAL_MS,
      () => {
        const live = node.membership.liveMembers();
        const addresses = live.map((member) => member.peerAddress)
          .filter((address) => address !== `${node.id}`);
        const entries = node.membership.countEntries();
        this.#handleConfiguration(node, { type: "peers", addresses, entries });
      },
    );
    const rank = Math.floor(node.id / this.#options.regions);
    if (rank >= this.#options.services) return;
    let sequence = 0;
    this.#runPeriodically(
      PUBLISH_INTERVAL_MS * random(),
      PUBLISH_INTERVAL_MS,
      () => {
        sequence += 1;
        this.#publishGroupState(node, rank, sequence);
      },
    );
  }

  #publishGroupState(node: FleetNode, service: number, sequence: number): void {
    const self = node.membership.members()[0]!;
    this.#handleMembership(node, {
      type: "set_state",
      key: `groups/service-${service}/${node.region}`,
      value: {
        ownerProcess: self.processId,
        owner: self.incarnation,
        fence: 7,
        address: self.callerAddress,
        queueMs: sequence % 13,
        open: true,
        sequence,
      },
      version: [7, sequence],
      scope: "global",
      ttlMs: 10_000,
    });
  }

  #runPeriodically(firstMs: number, periodMs: number, run: () => void): void {
    this.clock.runAfter(firstMs, () => {
      run();
      this.#runPeriodically(periodMs, periodMs, run);
    });
  }

  #handleMembership(node: FleetNode, event: MembershipEvent): void {
    for (const action of node.membership.handle(event, this.clock.nowMs)) {
      this.#applyAction(node, action);
    }
  }

  #applyAction(node: FleetNode, action: MembershipAction): void {
    if (action.type === "digest") {
      this.#handleConfiguration(node, action);
    } else if (action.type === "send") {
      const { address, message } = action;
      if (this.#isCounting) this.#countMessage(message);
      this.#send(
        node,
        this.nodes[Number(address)],
        (to) =>
          this.#handleMembership(to, {
            type: "message",
            fromAddress: `${node.id}`,
            message,
          }),
      );
    }
  }

  #handleConfiguration(node: FleetNode, event: ConfigurationEvent): void {
    for (const action of node.replica.handle(event, this.clock.nowMs)) {
      if (action.type === "apply") {
        const { sequence } = action.snapshot;
        this.#handleMembership(node, { type: "set_digest", sequence });
      } else if (action.type === "push") {
        const { snapshot } = action;
        for (const address of action.addresses) {
          this.#sendSnapshot(node, this.nodes[Number(address)], snapshot);
        }
      } else if (action.type === "pull") {
        const peer = this.nodes[Number(action.address)]!;
        this.#send(node, peer, () => {
          const snapshot = peer.replica.current();
          if (snapshot) this.#sendSnapshot(peer, node, snapshot);
        });
      } else {
        if (this.#isCounting) this.storeReads += 1;
        this.clock.runAfter(
          20,
          () =>
            this.#handleConfiguration(node, {
              type: "store_read",
              result: "unchanged",
            }),
        );
      }
    }
  }

  #sendSnapshot(
    from: FleetNode,
    to: FleetNode | undefined,
    snapshot: ReturnType<typeof buildEmptySnapshot>,
  ): void {
    if (this.#isCounting) this.traffic.snapshots += 1;
    this.#send(
      from,
      to,
      (node) =>
        this.#handleConfiguration(node, {
          type: "snapshot",
          snapshot,
          source: "peer",
        }),
    );
  }

  #send(
    from: FleetNode,
    to: FleetNode | undefined,
    deliver: (to: FleetNode) => void,
  ): void {
    const { random, loss } = this.#options;
    if (!to || random() < loss) return;
    const delayMs = from.region === to.region ? 0.5 : 35;
    this.clock.runAfter(delayMs + random() * 0.5, () => deliver(to));
  }

  #countMessage(message: MembershipMessage): void {
    const { traffic } = this;
    const size = computeFrameBytes(message);
    traffic.messages += 1;
    traffic.bytes += size;
    traffic.largest = Math.max(traffic.largest, size);
    if (message.type === "summary") {
      traffic.summaries += 1;
      traffic.summaryBytes += size;
    }
  }
}

function computeFrameBytes(message: MembershipMessage): number {
  return FRAME_BYTES + codec.encode({ type: "membership", message }).length;
}

function buildTraffic(): Traffic {
  return {
    messages: 0,
    bytes: 0,
    largest: 0,
    summaries: 0,
    summaryBytes: 0,
    snapshots: 0,
  };
}
