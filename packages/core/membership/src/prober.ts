/**
 * Failure detection by direct and indirect probes.
 *
 * @module
 */

import type { Random } from "@dotterelmoor/core.types";
import type { MemberUpdate } from "./messages.ts";
import type { MembershipTimings } from "./options.ts";
import { takeRandom, toShuffled } from "./random.ts";

/** Maximum number of pending probes on behalf of other members. */
const MAX_RELAYS = 64;

/**
 * Rounds per probe interval during a mass loss, when few members are left to
 * probe and each of them has more failures to detect.
 */
const LOSS_ROUNDS = 6;

interface Round {
  readonly target: MemberUpdate;
  readonly sequence: number;
  readonly sentAtMs: number;
  indirect: boolean;
  acked: boolean;
}

interface Relay {
  readonly requester: string;
  readonly sequence: number;
}

/** Output of the prober. */
export type ProbeStep =
  | {
    /** Send a probe to the target. */
    readonly type: "probe";
    readonly target: MemberUpdate;
    readonly sequence: number;
  }
  | {
    /** Ask the helpers to probe the target. */
    readonly type: "request";
    readonly helpers: readonly MemberUpdate[];
    readonly target: MemberUpdate;
    readonly sequence: number;
  }
  /** The target answered neither directly nor through helpers. */
  | { readonly type: "failed"; readonly target: MemberUpdate };

/**
 * Probes the members one after the other, in a random order that is shuffled
 * again after each pass; several at once during a mass loss.
 */
export class Prober {
  readonly #timings: MembershipTimings;
  readonly #random: Random;
  #probeOrder: string[] = [];
  /** Rounds in progress by probe sequence, the oldest first. */
  readonly #rounds = new Map<number, Round>();
  #nextRoundMs: number | undefined;
  #sequence = 0;
  #relays = new Map<number, Relay>();

  constructor(timings: MembershipTimings, random: Random) {
    this.#timings = timings;
    this.#random = random;
  }

  /** Cancels the rounds in progress, as after a freeze of this process. */
  reset(): void {
    this.#rounds.clear();
  }

  /** Ends rounds, requests indirect probes, and starts the next round. */
  advance(
    members: readonly MemberUpdate[],
    { nowMs, hasMassLoss }: {
      readonly nowMs: number;
      /** True during a mass loss; see `MemberTable.hasMassLoss`. */
      readonly hasMassLoss: boolean;
    },
  ): ProbeStep[] {
    const { probeIntervalMs } = this.#timings;
    this.#nextRoundMs ??= nowMs + this.#random() * probeIntervalMs;
    const steps = this.#endRounds(nowMs);
    for (const round of this.#rounds.values()) {
      steps.push(...this.#requestIndirect(round, members, nowMs));
    }
    if (nowMs < this.#nextRoundMs) return steps;
    this.#nextRoundMs = nowMs +
      probeIntervalMs / (hasMassLoss ? LOSS_ROUNDS : 1);
    // Suspects were already probed; undetected failures come first.
    const candidates = hasMassLoss
      ? members.filter(({ state }) => state !== "suspect")
      : members;
    const target = this.#pickTarget(candidates);
    if (target === undefined) return steps;
    const sequence = ++this.#sequence;
    this.#rounds.set(sequence, {
      target,
      sequence,
      sentAtMs: nowMs,
      indirect: false,
      acked: false,
    });
    return [...steps, { type: "probe", target, sequence }];
  }

  #endRounds(nowMs: number): ProbeStep[] {
    const steps: ProbeStep[] = [];
    for (const { sequence, sentAtMs, target, acked } of this.#rounds.values()) {
      if (nowMs - sentAtMs < this.#timings.probeIntervalMs) break;
      this.#rounds.delete(sequence);
      if (!acked) steps.push({ type: "failed", target });
    }
    return steps;
  }

  /** Handles an ack; returns the relay if the probe was for another member. */
  acknowledge(sequence: number, processId: string): Relay | undefined {
    const round = this.#rounds.get(sequence);
    if (round?.target.processId === processId) round.acked = true;
    const relay = this.#relays.get(sequence);
    this.#relays.delete(sequence);
    return relay;
  }

  /** Registers a probe on behalf of another member; returns its sequence. */
  addRelay(requester: string, sequence: number): number {
    const relaySequence = ++this.#sequence;
    this.#relays.set(relaySequence, { requester, sequence });
    if (this.#relays.size > MAX_RELAYS) {
      const [oldest] = this.#relays.keys();
      if (oldest !== undefined) this.#relays.delete(oldest);
    }
    return relaySequence;
  }

  #requestIndirect(
    round: Round,
    members: readonly MemberUpdate[],
    nowMs: number,
  ): ProbeStep[] {
    if (
      round.acked || round.indirect ||
      nowMs - round.sentAtMs < this.#timings.probeTimeoutMs
    ) return [];
    round.indirect = true;
    const { target, sequence } = round;
    const others = members.filter((member) =>
      member.processId !== target.processId && member.state === "alive"
    );
    const count = this.#timings.indirectProbes;
    const helpers = takeRandom(others, count, this.#random);
    return [{ type: "request", helpers, target, sequence }];
  }

  #pickTarget(members: readonly MemberUpdate[]): MemberUpdate | undefined {
    const byId = new Map(members.map((member) => [member.processId, member]));
    for (let refill = 0; refill < 2; refill += 1) {
      while (this.#probeOrder.length > 0) {
        const target = byId.get(this.#probeOrder.pop()!);
        if (target) return target;
      }
      this.#probeOrder = toShuffled(Array.from(byId.keys()), this.#random);
    }
    return undefined;
  }
}
