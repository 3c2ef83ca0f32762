/**
 * Builds messages and takes those of peers.
 *
 * @module
 */

import type { Random } from "@dotterelmoor/core.types";
import type { Contacts } from "./contacting.ts";
import type { Knowledge } from "./knowledge.ts";
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

/** Members of the region that are told of a new digest at once. Each of them
 * tells as many, so that probes have only a few left to reach. */
const DIGEST_FANOUT = 3;

/** Options of `Messenger`. */
export interface MessengerOptions {
  readonly knowledge: Knowledge;
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
  #nextWalkMs = 0;
  #nextCorrectionMs = 0;

  constructor(options: MessengerOptions) {
    this.#options = options;
  }

  readonly #handlers: Handlers = {
    probe: (message, nowMs) => this.#answerProbe(message, nowMs),
    ack: (message, nowMs) => this.#takeAck(message, nowMs),
    probe_request: (message, nowMs) => this.#relay(message, nowMs),
    gossip: (message, nowMs) => this.#takeGossip(message, nowMs),
    summary: (message, nowMs) => this.#takeSummary(message, nowMs),
  };

  /** Takes a message of any peer. */
  receive(message: MembershipMessage, nowMs: number): MembershipAction[] {
    const { knowledge } = this.#options;
    const { self } = knowledge.members;
    const { sender } = message;
    if (sender.processId === self.processId) return [];
    const actions: MembershipAction[] = [];
    if (sender.region === self.region) {
      knowledge.regions.signs.merge(message.signs ?? {}, nowMs);
      actions.push(...this.#takeSender(message, nowMs));
    } else {
      knowledge.regions.hear(sender, nowMs);
    }
    for (const update of readPacked(message.updates)) {
      actions.push(...knowledge.merge(update, nowMs));
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

  /** Sends gossip to a member unless there is nothing to say. */
  gossip(target: MemberUpdate, nowMs: number): MembershipAction[] {
    const base = this.#base(target, nowMs);
    if (base.updates.items.length === 0) return [];
    return [send(target.peerAddress, { type: "gossip", ...base })];
  }

  buildProbe(
    target: MemberUpdate,
    sequence: number,
    nowMs: number,
  ): MembershipAction {
    const base = this.#base(target, nowMs);
    return send(target.peerAddress, { type: "probe", ...base, sequence });
  }

  buildProbeRequest(
    helper: MemberUpdate,
    round: { readonly target: MemberUpdate; readonly sequence: number },
    nowMs: number,
  ): MembershipAction {
    return send(helper.peerAddress, {
      type: "probe_request",
      ...this.#base(helper, nowMs),
      sequence: round.sequence,
      targetAddress: round.target.peerAddress,
    });
  }

  /** Tells some members, and one entry of each other region, the digest. */
  announceDigest(nowMs: number): MembershipAction[] {
    const { knowledge, contacts, random } = this.#options;
    const members = takeRandom(
      knowledge.members.reachable(),
      DIGEST_FANOUT,
      random,
    );
    return [
      ...members.map(({ peerAddress }) => peerAddress),
      ...contacts.pickEachRegion(),
    ].map((address) =>
      send(address, { type: "gossip", ...this.#base(undefined, nowMs, false) })
    );
  }

  /** Asks an address for the first chunk of what it knows. */
  buildPull(address: string, nowMs: number, pullAfter = ""): MembershipAction {
    const base = { ...this.#base(undefined, nowMs, false), pullAfter };
    return send(address, { type: "gossip", ...base });
  }

  buildSummary(
    address: string,
    wantsAnswer: boolean,
    nowMs: number,
  ): MembershipAction {
    return send(address, {
      type: "summary",
      ...this.#base(undefined, nowMs, false),
      wantsAnswer,
      summary: this.#options.contacts.buildSummary(nowMs),
    });
  }

  /**
   * Continues the walk through a random peer's state: without pause while
   * joining, then slowly, for what gossip has missed.
   */
  walk(members: readonly MemberUpdate[], nowMs: number): MembershipAction[] {
    if (nowMs < this.#nextWalkMs) return [];
    const { timings, random } = this.#options;
    const periodMs = this.#joined
      ? timings.syncIntervalMs
      : timings.probeIntervalMs;
    this.#nextWalkMs = nowMs + periodMs * (0.8 + 0.4 * random());
    const peer = pickRandom(members, random);
    if (!peer) return [];
    return [this.buildPull(peer.peerAddress, nowMs, this.#cursor)];
  }

  #base(
    receiver: MemberUpdate | undefined,
    nowMs: number,
    withQueue = true,
  ): MessageBase {
    const { knowledge } = this.#options;
    const taken = withQueue ? knowledge.take(receiver, nowMs) : [];
    const updates = toPacked(taken);
    // Messages without the queue may go to other regions, where bytes cost
    // most and signs of third regions say little.
    const signs = withQueue ? knowledge.regions.signs.read(nowMs) : undefined;
    const sender = knowledge.members.self;
    const base = { sender, digest: this.digest, updates };
    return signs ? { ...base, signs } : base;
  }

  /** A sender believed dead is told so, because only it can refute that. */
  #takeSender(message: MembershipMessage, nowMs: number): MembershipAction[] {
    const { knowledge } = this.#options;
    const { sender } = message;
    const { members } = knowledge;
    const { changes, stale } = members.merge(sender, nowMs);
    const replaced = stale ? [] : members.replaceAt(sender, nowMs);
    const actions = knowledge.noteChanges([...changes, ...replaced], nowMs);
    members.heard(sender.processId);
    if (stale && message.type !== "probe" && this.#mayCorrect(nowMs)) {
      actions.push(...this.gossip(sender, nowMs));
    }
    return actions;
  }

  /** Spaces corrections: two peers that know no better would never end. */
  #mayCorrect(nowMs: number): boolean {
    if (nowMs < this.#nextCorrectionMs) return false;
    this.#nextCorrectionMs = nowMs + CORRECTION_INTERVAL_MS;
    return true;
  }

  #answerProbe(message: ProbeMessage, nowMs: number): MembershipAction[] {
    return [this.#buildAck(message.sender, {
      sequence: message.sequence,
      target: this.#options.knowledge.members.self.processId,
    }, nowMs)];
  }

  #takeAck(message: AckMessage, nowMs: number): MembershipAction[] {
    const { sequence, target } = message;
    const relay = this.#options.prober.acknowledge(sequence, target);
    if (!relay) return [];
    return [send(relay.requester, {
      type: "ack",
      ...this.#base(undefined, nowMs),
      sequence: relay.sequence,
      target,
    })];
  }

  #relay(message: ProbeRequestMessage, nowMs: number): MembershipAction[] {
    const { prober } = this.#options;
    const { peerAddress } = message.sender;
    const sequence = prober.addRelay(peerAddress, message.sequence);
    const base = this.#base(undefined, nowMs);
    return [
      send(message.targetAddress, { type: "probe", ...base, sequence }),
    ];
  }

  #buildAck(
    receiver: MemberUpdate,
    answer: { readonly sequence: number; readonly target: string },
    nowMs: number,
  ): MembershipAction {
    const base = this.#base(receiver, nowMs);
    return send(receiver.peerAddress, { type: "ack", ...base, ...answer });
  }

  #takeGossip(message: GossipMessage, nowMs: number): MembershipAction[] {
    const { knowledge } = this.#options;
    const { sender, pullAfter, nextAfter } = message;
    if (pullAfter !== undefined) {
      if (sender.region !== knowledge.members.self.region) {
        return [this.buildSummary(sender.peerAddress, true, nowMs)];
      }
      const chunk = knowledge.readChunk(pullAfter, nowMs);
      return [send(sender.peerAddress, {
        type: "gossip",
        ...this.#base(undefined, nowMs, false),
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

  #takeSummary(message: SummaryMessage, nowMs: number): MembershipAction[] {
    const { knowledge } = this.#options;
    const { sender, summary, wantsAnswer } = message;
    if (sender.region === knowledge.members.self.region) return [];
    const { states, ...list } = summary;
    const region = { type: "region" as const, ...list, ageMs: 0 };
    const bundle = {
      type: "bundle" as const,
      region: summary.region,
      states: readPacked(states).filter((update) => update.type === "state"),
    };
    const actions = [region, bundle].flatMap((update) =>
      knowledge.merge(update, nowMs)
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
