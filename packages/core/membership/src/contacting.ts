/**
 * Selection of peers to contact in other regions, and when rejoining.
 *
 * @module
 */

import type { Random } from "@dotterelmoor/core.types";
import type { GossipStore } from "./gossip_store.ts";
import type { RegionSummary, StateUpdate } from "./messages.ts";
import type { MembershipTimings } from "./options.ts";
import { toPacked } from "./packing.ts";
import { pickRandom, takeRandom } from "./random.ts";
import { MAX_SUMMARY_ENTRIES, MAX_SUMMARY_STATES } from "./timings.ts";

/** Number of addresses asked at once while no member is reachable. */
const JOIN_SEEDS = 3;

/** Options of `Contacts`. */
export interface ContactsOptions {
  readonly gossipStore: GossipStore;
  readonly seeds: readonly string[];
  readonly timings: MembershipTimings;
  readonly random: Random;
}

/** Decides when to contact other regions, seeds and dead members. */
export class Contacts {
  readonly #options: ContactsOptions;
  #nextContactMs = 0;
  #nextRejoinMs = 0;
  #globalStateAtMs = -Infinity;
  #sequence = 0;
  #stateOffset = 0;
  readonly #seeds: Set<string>;

  constructor(options: ContactsOptions) {
    this.#options = options;
    this.#seeds = new Set(options.seeds);
  }

  /** Adds seeds: addresses to contact while their entries are not known. */
  addSeeds(addresses: readonly string[]): void {
    for (const address of addresses) this.#seeds.add(address);
  }

  /**
   * Records that this process sets global states. It then contacts another
   * region in every interval, because it has the newest version of its states.
   * A region has only a few such processes, whatever its size.
   */
  recordGlobalState(nowMs: number): void {
    this.#globalStateAtMs = nowMs;
  }

  /** Returns the address of an entry of another region if a contact is due. */
  takeContact(nowMs: number): string | undefined {
    const { gossipStore, timings, random } = this.#options;
    if (nowMs < this.#nextContactMs) return undefined;
    const size = gossipStore.members.listReachable().length + 1;
    const intervals = size / timings.contactsPerRegion;
    const setsGlobalState = nowMs - this.#globalStateAtMs < timings.freshMs;
    const periodMs = timings.contactIntervalMs *
      (setsGlobalState ? Math.min(1, intervals) : intervals);
    this.#nextContactMs = nowMs + periodMs * (0.8 + 0.4 * random());
    const name = pickRandom(gossipStore.regions.listNames(), random);
    if (name === undefined) return undefined;
    return pickRandom(gossipStore.regions.listContacts(name), random)
      ?.peerAddress;
  }

  /** Picks one address in each other region, for urgent updates. */
  pickEachRegion(): string[] {
    const { gossipStore, random } = this.#options;
    const { regions } = gossipStore;
    return regions.listNames()
      .map((name) => pickRandom(regions.listContacts(name), random))
      .filter((record) => record !== undefined)
      .map((record) => record.peerAddress);
  }

  /**
   * Returns the addresses to ask for members, if an attempt is due: seeds that
   * no known member has, and addresses of dead members, so that the region
   * recovers from a network partition.
   */
  takeRejoins(nowMs: number): string[] {
    const { gossipStore, timings, random } = this.#options;
    if (nowMs < this.#nextRejoinMs) return [];
    const isAlone = gossipStore.members.listReachable().length === 0;
    const periodMs = isAlone
      ? timings.probeIntervalMs
      : timings.rejoinIntervalMs;
    this.#nextRejoinMs = nowMs + periodMs * (0.8 + 0.4 * random());
    const known = this.#listKnownAddresses(nowMs);
    const lost = new Set(
      [...this.#seeds, ...gossipStore.members.listDeadAddresses()]
        .filter((address) => !known.has(address)),
    );
    return takeRandom([...lost], isAlone ? JOIN_SEEDS : 1, random);
  }

  /** Builds the summary of the own region; states beyond the limit rotate. */
  buildSummary(nowMs: number): RegionSummary {
    const { gossipStore, random } = this.#options;
    const { self } = gossipStore.members;
    const live = [self, ...gossipStore.members.listOthers()]
      .filter((member) => member.state === "alive");
    // Other regions route to listed entries for some seconds. During a mass
    // loss, some of the members that count as alive have already ended.
    const listed = gossipStore.members.hasMassLoss(nowMs)
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
      gone: gossipStore.gone(),
      size: live.length,
      states: toPacked(this.#takeStates(nowMs)),
    };
  }

  #takeStates(nowMs: number): StateUpdate[] {
    const { states, members } = this.#options.gossipStore;
    const keys = states.listGlobalKeys(members.self.region);
    const start = keys.length > MAX_SUMMARY_STATES
      ? this.#stateOffset % keys.length
      : 0;
    this.#stateOffset = start + MAX_SUMMARY_STATES;
    return [...keys.slice(start), ...keys.slice(0, start)]
      .slice(0, MAX_SUMMARY_STATES)
      .map((key) => states.get(key, nowMs))
      .filter((state) => state !== undefined);
  }

  #listKnownAddresses(nowMs: number): Set<string> {
    const { gossipStore, timings } = this.#options;
    const known = new Set([gossipStore.members.self.peerAddress]);
    for (const member of gossipStore.members.listReachable()) {
      known.add(member.peerAddress);
    }
    // Seeds of an unreachable region are asked again after a while.
    const sinceMs = nowMs - 2 * timings.contactFreshMs;
    for (const name of gossipStore.regions.listNames()) {
      for (const record of gossipStore.regions.listContacts(name, sinceMs)) {
        known.add(record.peerAddress);
      }
    }
    return known;
  }
}
