/**
 * Builds messages and handles those of peers.
 *
 * @module
 */

import type { Random } from "@dotterelmoor/core.types";
import type { Contacts } from "./contacting.ts";
import type { GossipStore } from "./gossip_store.ts";
import type {
  AckMessage,
  GossipMessage,
  MembershipMessage,
  MemberUpdate,
  MessageBase,
  ProbeMessage,
  ProbeRequestMessage,
  SummaryMessage,
} from "./messages.ts";
import type { MembershipAction, MembershipTimings } from "./options.ts";
import type { Prober } from "./prober.ts";
import { readPacked, toPacked } from "./packing.ts";
import { pickRandom, takeRandom } from "./random.ts";

const CORRECTION_INTERVAL_MS = 100;

/**
 * Number of members that are sent a new digest at once. Each of them notifies as
 * many in turn, so that only a few are left to learn of it from probes.
 */
const DIGEST_FANOUT = 3;

/** Options of `Messenger`. */
export interface MessengerOptions {
  readonly gossipStore: GossipStore;
  readonly prober: Prober;
  readonly contacts: Contacts;
  readonly timings: MembershipTimings;
  readonly random: Random;
}

type Handlers = {
  readonly [Type in MembershipMessage["type"]]: (
    message: Extract<MembershipMessage, { type: Type }>,
    nowMs: number,
  ) => MembershipAction[];
};

/** Sends and receives the messages of one process. */
export class Messenger {
  /** Configuration sequence of this process. */
  digest = 0;
  readonly #options: MessengerOptions;
  #cursor = "";
  #joined = false;
  #nextSyncMs = 0;
  #nextCorrectionMs = 0;

  constructor(options: MessengerOptions) {
    this.#options = options;
  }

  readonly #handlers: Handlers = {
    probe: (message, nowMs) => this.#answerProbe(message, nowMs),
    ack: (message, nowMs) => this.#handleAck(message, nowMs),
    probe_request: (message, nowMs) => this.#relayProbe(message, nowMs),
    gossip: (message, nowMs) => this.#handleGossip(message, nowMs),
    summary: (message, nowMs) => this.#handleSummary(message, nowMs),
  };

  /** Handles a message of any peer. */
  receive(message: MembershipMessage, nowMs: number): MembershipAction[] {
    const { gossipStore } = this.#options;
    const { self } = gossipStore.members;
    const { sender } = message;
    if (sender.processId === self.processId) return [];
    const actions: MembershipAction[] = [];
    if (sender.region === self.region) {
      gossipStore.regions.signs.merge(message.signs ?? {}, nowMs);
      actions.push(...this.#handleSender(message, nowMs));
    } else {
      gossipStore.regions.recordSender(sender, nowMs);
    }
    for (const update of readPacked(message.updates)) {
      actions.push(...gossipStore.merge(update, nowMs));
    }
    if (message.digest !== this.digest) {
      const address = sender.peerAddress;
      actions.push({ type: "digest", address, sequence: message.digest });
    }
    const handler = this.#handlers[message.type] as (
      message: MembershipMessage,
      nowMs: number,
    ) => MembershipAction[];
    actions.push(...handler(message, nowMs));
    return actions;
  }

  /** Sends gossip to a member unless no update is queued. */
  gossip(target: MemberUpdate, nowMs: number): MembershipAction[] {
    const base = this.#buildBase(target, nowMs);
    if (base.updates.items.length === 0) return [];
    return [send(target.peerAddress, { type: "gossip", ...base })];
  }

  buildProbe(
    target: MemberUpdate,
    sequence: number,
    nowMs: number,
  ): MembershipAction {
    const base = this.#buildBase(target, nowMs);
    return send(target.peerAddress, { type: "probe", ...base, sequence });
  }

  buildProbeRequest(
    helper: MemberUpdate,
    round: { readonly target: MemberUpdate; readonly sequence: number },
    nowMs: number,
  ): MembershipAction {
    return send(helper.peerAddress, {
      type: "probe_request",
      ...this.#buildBase(helper, nowMs),
      sequence: round.sequence,
      targetAddress: round.target.peerAddress,
    });
  }

  /** Sends the digest to some members and to one entry of each other region. */
  announceDigest(nowMs: number): MembershipAction[] {
    const { gossipStore, contacts, random } = this.#options;
    const members = takeRandom(
      gossipStore.members.listReachable(),
      DIGEST_FANOUT,
      random,
    );
    return [
      ...members.map(({ peerAddress }) => peerAddress),
      ...contacts.pickEachRegion(),
    ].map((address) =>
      send(address, {
        type: "gossip",
        ...this.#buildBase(undefined, nowMs, false),
      })
    );
  }

  /** Requests a chunk of a peer's state, by default the first one. */
  buildPull(address: string, nowMs: number, pullAfter = ""): MembershipAction {
    const base = { ...this.#buildBase(undefined, nowMs, false), pullAfter };
    return send(address, { type: "gossip", ...base });
  }

  buildSummary(
    address: string,
    wantsAnswer: boolean,
    nowMs: number,
  ): MembershipAction {
    return send(address, {
      type: "summary",
      ...this.#buildBase(undefined, nowMs, false),
      wantsAnswer,
      summary: this.#options.contacts.buildSummary(nowMs),
    });
  }

  /**
   * Pulls the next chunk of state from a random peer: without pause while
   * joining, then slowly, to repair what gossip has missed.
   */
  sync(members: readonly MemberUpdate[], nowMs: number): MembershipAction[] {
    if (nowMs < this.#nextSyncMs) return [];
    const { timings, random } = this.#options;
    const periodMs = this.#joined
      ? timings.syncIntervalMs
      : timings.probeIntervalMs;
    this.#nextSyncMs = nowMs + periodMs * (0.8 + 0.4 * random());
    const peer = pickRandom(members, random);
    if (!peer) return [];
    return [this.buildPull(peer.peerAddress, nowMs, this.#cursor)];
  }

  #buildBase(
    receiver: MemberUpdate | undefined,
    nowMs: number,
    withQueue = true,
  ): MessageBase {
    const { gossipStore } = this.#options;
    const taken = withQueue ? gossipStore.take(receiver, nowMs) : [];
    const updates = toPacked(taken);
    // Messages without queued updates may go to other regions, where traffic is
    // most expensive and signs of third regions are of little use.
    const signs = withQueue ? gossipStore.regions.signs.read(nowMs) : undefined;
    const sender = gossipStore.members.self;
    const base = { sender, digest: this.digest, updates };
    return signs ? { ...base, signs } : base;
  }

  /**
   * Merges the sender's record. A sender that is listed as suspect or dead is
   * notified, because only it can refute that.
   */
  #handleSender(message: MembershipMessage, nowMs: number): MembershipAction[] {
    const { gossipStore } = this.#options;
    const { sender } = message;
    const { members } = gossipStore;
    const { changes, stale } = members.merge(sender, nowMs);
    const replaced = stale ? [] : members.markReplaced(sender, nowMs);
    const actions = gossipStore.recordChanges([...changes, ...replaced], nowMs);
    members.recordMessage(sender.processId);
    if (stale && message.type !== "probe" && this.#canCorrect(nowMs)) {
      actions.push(...this.gossip(sender, nowMs));
    }
    return actions;
  }

  /**
   * Limits the rate of corrections; otherwise two peers that both have outdated
   * data could correct each other endlessly.
   */
  #canCorrect(nowMs: number): boolean {
    if (nowMs < this.#nextCorrectionMs) return false;
    this.#nextCorrectionMs = nowMs + CORRECTION_INTERVAL_MS;
    return true;
  }

  #answerProbe(message: ProbeMessage, nowMs: number): MembershipAction[] {
    return [this.#buildAck(message.sender, {
      sequence: message.sequence,
      target: this.#options.gossipStore.members.self.processId,
    }, nowMs)];
  }

  #handleAck(message: AckMessage, nowMs: number): MembershipAction[] {
    const { sequence, target } = message;
    const relay = this.#options.prober.acknowledge(sequence, target);
    if (!relay) return [];
    return [send(relay.requester, {
      type: "ack",
      ...this.#buildBase(undefined, nowMs),
      sequence: relay.sequence,
      target,
    })];
  }

  #relayProbe(message: ProbeRequestMessage, nowMs: number): MembershipAction[] {
    const { prober } = this.#options;
    const { peerAddress } = message.sender;
    const sequence = prober.addRelay(peerAddress, message.sequence);
    const base = this.#buildBase(undefined, nowMs);
    return [
      send(message.targetAddress, { type: "probe", ...base, sequence }),
    ];
  }

  #buildAck(
    receiver: MemberUpdate,
    answer: { readonly sequence: number; readonly target: string },
    nowMs: number,
  ): MembershipAction {
    const base = this.#buildBase(receiver, nowMs);
    return send(receiver.peerAddress, { type: "ack", ...base, ...answer });
  }

  #handleGossip(message: GossipMessage, nowMs: number): MembershipAction[] {
    const { gossipStore } = this.#options;
    const { sender, pullAfter, nextAfter } = message;
    if (pullAfter !== undefined) {
      if (sender.region !== gossipStore.members.self.region) {
        return [this.buildSummary(sender.peerAddress, true, nowMs)];
      }
      const chunk = gossipStore.readChunk(pullAfter, nowMs);
      return [send(sender.peerAddress, {
        type: "gossip",
        ...this.#buildBase(undefined, nowMs, false),
        updates: toPacked(chunk.updates),
        nextAfter: chunk.nextAfter,
      })];
    }
    if (nextAfter === undefined) return [];
    this.#cursor = nextAfter;
    if (nextAfter === "") this.#joined = true;
    return this.#joined
      ? []
      : [this.buildPull(sender.peerAddress, nowMs, nextAfter)];
  }

  #handleSummary(message: SummaryMessage, nowMs: number): MembershipAction[] {
    const { gossipStore } = this.#options;
    const { sender, summary, wantsAnswer } = message;
    if (sender.region === gossipStore.members.self.region) return [];
    const { states, ...list } = summary;
    const region = { type: "region" as const, ...list, ageMs: 0 };
    const bundle = {
      type: "bundle" as const,
      region: summary.region,
      states: readPacked(states).filter((update) => update.type === "state"),
    };
    const actions = [region, bundle].flatMap((update) =>
      gossipStore.merge(update, nowMs)
    );
    if (wantsAnswer) {
      actions.push(this.buildSummary(sender.peerAddress, false, nowMs));
    }
    return actions;
  }
}

function send(address: string, message: MembershipMessage): MembershipAction {
  return { type: "send", address, message };
}
