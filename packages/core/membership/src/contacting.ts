/**
 * Choice of addresses outside the known members of the own region.
 *
 * @module
 */

import type { Random } from "@dotterelmoor/core.types";
import type { Knowledge } from "./knowledge.ts";
import type { RegionSummary, StateUpdate } from "./messages.ts";
import type { MembershipTimings } from "./options.ts";
import { toPacked } from "./packing.ts";
import { pickRandom, takeRandom } from "./random.ts";
import { MAX_SUMMARY_ENTRIES, MAX_SUMMARY_STATES } from "./timings.ts";

/** Seeds asked at once when no member is known. */
const JOIN_SEEDS = 3;

/** Options of `Contacts`. */
export interface ContactsOptions {
  readonly knowledge: Knowledge;
  readonly seeds: readonly string[];
  readonly timings: MembershipTimings;
  readonly random: Random;
}

/** Decides when and whom to contact outside of probing. */
export class Contacts {
  readonly #options: ContactsOptions;
  #nextContactMs = 0;
  #nextRejoinMs = 0;
  #globalStateMs = -Infinity;
  #sequence = 0;
  #stateOffset = 0;
  readonly #seeds: Set<string>;

  constructor(options: ContactsOptions) {
    this.#options = options;
    this.#seeds = new Set(options.seeds);
  }

  /** Adds addresses to contact while their entries are not known. */
  addSeeds(addresses: readonly string[]): void {
    for (const address of addresses) this.#seeds.add(address);
  }

  /**
   * Notes that this process sets states for all regions. It then makes a
   * contact in each interval: its states are youngest here, and a region has
   * only a few such processes, whatever its size.
   */
  noteGlobalState(nowMs: number): void {
    this.#globalStateMs = nowMs;
  }

  /** Address of an entry of another region, when a contact is due. */
  takeContact(nowMs: number): string | undefined {
    const { knowledge, timings, random } = this.#options;
    if (nowMs < this.#nextContactMs) return undefined;
    const size = knowledge.members.reachable().length + 1;
    const share = size / timings.contactsPerRegion;
    const sets = nowMs - this.#globalStateMs < timings.freshMs;
    const periodMs = timings.contactIntervalMs *
      (sets ? Math.min(1, share) : share);
    this.#nextContactMs = nowMs + periodMs * (0.8 + 0.4 * random());
    const name = pickRandom(knowledge.regions.names(), random);
    if (name === undefined) return undefined;
    return pickRandom(knowledge.regions.contacts(name), random)?.peerAddress;
  }

  /** One address in each other region, for news that must not wait. */
  pickEachRegion(): string[] {
    const { knowledge, random } = this.#options;
    const { regions } = knowledge;
    return regions.names()
      .map((name) => pickRandom(regions.contacts(name), random))
      .filter((record) => record !== undefined)
      .map((record) => record.peerAddress);
  }

  /**
   * Addresses to ask for members when that is due: seeds that are not heard
   * from, and members believed dead, so that a partition of the region heals.
   */
  takeRejoins(nowMs: number): string[] {
    const { knowledge, timings, random } = this.#options;
    if (nowMs < this.#nextRejoinMs) return [];
    const alone = knowledge.members.reachable().length === 0;
    const periodMs = alone ? timings.probeIntervalMs : timings.rejoinIntervalMs;
    this.#nextRejoinMs = nowMs + periodMs * (0.8 + 0.4 * random());
    const known = this.#knownAddresses(nowMs);
    const lost = new Set(
      [...this.#seeds, ...knowledge.members.lostAddresses()]
        .filter((address) => !known.has(address)),
    );
    return takeRandom([...lost], alone ? JOIN_SEEDS : 1, random);
  }

  /** Summary of the own region; states beyond the limit take turns. */
  buildSummary(nowMs: number): RegionSummary {
    const { knowledge, random } = this.#options;
    const { self } = knowledge.members;
    const live = [self, ...knowledge.members.others()]
      .filter((member) => member.state === "alive");
    // Other regions name whom they are told of for some seconds.
    const listed = knowledge.members.isLosing(nowMs)
      ? [self]
      : takeRandom(live, MAX_SUMMARY_ENTRIES, random);
    const entries = listed
      .map(({ type: _type, counter: _counter, state: _state, ...rest }) =>
        rest
      );
    this.#sequence += 1;
    return {
      region: self.region,
      origin: self.processId,
      sequence: this.#sequence,
      entries,
      gone: knowledge.gone(),
      size: live.length,
      states: toPacked(this.#takeStates(nowMs)),
    };
  }

  #takeStates(nowMs: number): StateUpdate[] {
    const { states, members } = this.#options.knowledge;
    const keys = states.globalKeys(members.self.region);
    const start = keys.length > MAX_SUMMARY_STATES
      ? this.#stateOffset % keys.length
      : 0;
    this.#stateOffset = start + MAX_SUMMARY_STATES;
    return [...keys.slice(start), ...keys.slice(0, start)]
      .slice(0, MAX_SUMMARY_STATES)
      .map((key) => states.get(key, nowMs))
      .filter((state) => state !== undefined);
  }

  #knownAddresses(nowMs: number): Set<string> {
    const { knowledge, timings } = this.#options;
    const known = new Set([knowledge.members.self.peerAddress]);
    for (const member of knowledge.members.reachable()) {
      known.add(member.peerAddress);
    }
    // Seeds of a region that is cut off are asked again after a while.
    const sinceMs = nowMs - 2 * timings.contactFreshMs;
    for (const name of knowledge.regions.names()) {
      for (const record of knowledge.regions.contacts(name, sinceMs)) {
        known.add(record.peerAddress);
      }
    }
    return known;
  }
}
