/**
 * Rounds of direct and indirect probes.
 *
 * @module
 */

import type { Random } from "@dotterelmoor/core.types";
import type { MemberUpdate } from "./messages.ts";
import type { MembershipTimings } from "./options.ts";
import { takeRandom, toShuffled } from "./random.ts";

/** Bounds the memory of probes made for others. */
const MAX_RELAYS = 64;

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

/** A step of the prober. */
export type ProbeStep =
  | {
    readonly type: "probe";
    readonly target: MemberUpdate;
    readonly sequence: number;
  }
  | {
    readonly type: "request";
    readonly helpers: readonly MemberUpdate[];
    readonly target: MemberUpdate;
    readonly sequence: number;
  }
  | { readonly type: "failed"; readonly target: MemberUpdate };

/** Probes one member after the other, each once in a shuffled turn. */
export class Prober {
  readonly #timings: MembershipTimings;
  readonly #random: Random;
  #turn: string[] = [];
  #round: Round | undefined;
  #nextRoundMs: number | undefined;
  #sequence = 0;
  #relays = new Map<number, Relay>();

  constructor(timings: MembershipTimings, random: Random) {
    this.#timings = timings;
    this.#random = random;
  }

  /** Abandons the round in progress, as after a freeze of this process. */
  reset(): void {
    this.#round = undefined;
  }

  /** Ends a round, starts the next one, or asks others for help. */
  advance(members: readonly MemberUpdate[], nowMs: number): ProbeStep[] {
    this.#nextRoundMs ??= nowMs +
      this.#random() * this.#timings.probeIntervalMs;
    if (nowMs < this.#nextRoundMs) return this.#askHelp(members, nowMs);
    this.#nextRoundMs = nowMs + this.#timings.probeIntervalMs;
    const steps: ProbeStep[] = [];
    if (this.#round && !this.#round.acked) {
      steps.push({ type: "failed", target: this.#round.target });
    }
    const target = this.#pickTarget(members);
    this.#round = undefined;
    if (target) {
      const sequence = ++this.#sequence;
      this.#round = {
        target,
        sequence,
        sentAtMs: nowMs,
        indirect: false,
        acked: false,
      };
      steps.push({ type: "probe", target, sequence });
    }
    return steps;
  }

  /** Takes an answer; returns the requester if it belongs to a relay. */
  acknowledge(sequence: number, processId: string): Relay | undefined {
    const round = this.#round;
    if (
      round?.sequence === sequence && round.target.processId === processId
    ) {
      round.acked = true;
    }
    const relay = this.#relays.get(sequence);
    this.#relays.delete(sequence);
    return relay;
  }

  /** Notes a probe made for another member and returns its number. */
  addRelay(requester: string, sequence: number): number {
    const own = ++this.#sequence;
    this.#relays.set(own, { requester, sequence });
    if (this.#relays.size > MAX_RELAYS) {
      const [oldest] = this.#relays.keys();
      if (oldest !== undefined) this.#relays.delete(oldest);
    }
    return own;
  }

  #askHelp(members: readonly MemberUpdate[], nowMs: number): ProbeStep[] {
    const round = this.#round;
    if (
      !round || round.acked || round.indirect ||
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
      while (this.#turn.length > 0) {
        const target = byId.get(this.#turn.pop()!);
        if (target) return target;
      }
      this.#turn = toShuffled(Array.from(byId.keys()), this.#random);
    }
    return undefined;
  }
}
