/**
 * The membership state machine.
 *
 * @module
 */

import { applyEvent } from "@dotterelmoor/core.types";
import type { EventHandlers } from "@dotterelmoor/core.types";
import { Contacts } from "./contacting.ts";
import { GossipStore } from "./gossip_store.ts";
import { Messenger } from "./messaging.ts";
import type { MemberRecord, MemberUpdate } from "./messages.ts";
import type {
  Membership,
  MembershipAction,
  MembershipEvent,
  MembershipOptions,
  MembershipTimings,
  RegionState,
  StateView,
} from "./options.ts";
import { Prober } from "./prober.ts";
import type { ProbeStep } from "./prober.ts";
import { pickRandom, takeRandom } from "./random.ts";
import { resolveTimings } from "./timings.ts";

/** Number of members notified at once when this process leaves. */
const LEAVE_FANOUT = 3;
const EXPIRE_INTERVAL_MS = 200;
/**
 * Time within which a starting process learns of all regions; under 1 s without
 * message loss.
 */
const DISCOVERY_MS = 5_000;
/**
 * Age up to which a contact is remembered. Lists of another region's entries are
 * gossiped every 10 s and take up to 4 s to reach all processes of a region.
 */
const RECENT_CONTACT_MS = 15_000;
/**
 * Maximum number of remembered contacts: the size of one list. More contacts
 * would include those of older lists, which may have ended without this process
 * being notified.
 */
const MAX_RECENT_CONTACTS = 4;

/** Creates the membership of one entry process. */
export function createMembership(options: MembershipOptions): Membership {
  return new MembershipMachine(options);
}

class MembershipMachine implements Membership {
  readonly #options: MembershipOptions;
  readonly #timings: MembershipTimings;
  readonly #gossipStore: GossipStore;
  readonly #prober: Prober;
  readonly #contacts: Contacts;
  readonly #messenger: Messenger;
  #started = false;
  #nowMs = 0;
  #nextExpireMs = 0;
  #nextGossipMs = 0;
  #discoveryUntilMs = DISCOVERY_MS;
  #live: readonly MemberUpdate[] | undefined;
  #all: readonly MemberUpdate[] | undefined;

  constructor(options: MembershipOptions) {
    const { random } = options;
    this.#options = options;
    this.#timings = resolveTimings(options.timings);
    this.#gossipStore = new GossipStore(options.self, this.#timings);
    this.#prober = new Prober(this.#timings, random);
    this.#contacts = new Contacts({
      gossipStore: this.#gossipStore,
      seeds: options.seeds,
      timings: this.#timings,
      random,
    });
    this.#messenger = new Messenger({
      gossipStore: this.#gossipStore,
      prober: this.#prober,
      contacts: this.#contacts,
      timings: this.#timings,
      random,
    });
  }

  readonly #handlers: EventHandlers<MembershipEvent, MembershipAction[]> = {
    start: (_event, nowMs) => this.#start(nowMs),
    tick: (_event, nowMs) => this.#tick(nowMs),
    message: (event, nowMs) => this.#messenger.receive(event.message, nowMs),
    set_state: (event, nowMs) => this.#setState(event, nowMs),
    set_digest: (event, nowMs) => this.#setDigest(event.sequence, nowMs),
    identity: (event, nowMs) => {
      const { incarnation } = event;
      this.#gossipStore.updateSelf({ incarnation }, nowMs);
      return [];
    },
    seeds: ({ addresses }) => {
      this.#contacts.addSeeds(addresses);
      return [];
    },
    leave: (_event, nowMs) => this.#leave(nowMs),
  };

  handle(event: MembershipEvent, nowMs: number): MembershipAction[] {
    this.#handleFreeze(nowMs);
    this.#nowMs = nowMs;
    this.#live = undefined;
    this.#all = undefined;
    return applyEvent(this.#handlers, event, nowMs);
  }

  members(): readonly MemberUpdate[] {
    this.#all ??= [
      this.#gossipStore.members.self,
      ...this.#gossipStore.members.listOthers(),
      ...this.#listRemoteMembers(),
    ];
    return this.#all;
  }

  liveMembers(region?: string): readonly MemberUpdate[] {
    this.#live ??= this.members().filter((member) =>
      member.state === "alive" || member.state === "suspect"
    );
    if (region === undefined) return this.#live;
    return this.#live.filter((member) => member.region === region);
  }

  regionState(region: string): RegionState {
    const isLive = this.liveMembers(region).length > 0 ||
      this.#gossipStore.regions.signs.isAlive(region, this.#nowMs);
    if (isLive) return "live";
    return this.#nowMs < this.#discoveryUntilMs ? "unknown" : "lost";
  }

  rememberedMembers(region: string): readonly MemberUpdate[] {
    const sinceMs = this.#nowMs - RECENT_CONTACT_MS;
    return this.#gossipStore.regions.listLatestContacts(
      region,
      MAX_RECENT_CONTACTS,
      sinceMs,
    )
      .map(toMember);
  }

  countEntries(): number {
    const { region } = this.#options.self;
    return this.liveMembers(region).length +
      this.#gossipStore.regions.countEntries();
  }

  state(key: string): StateView | undefined {
    return this.#gossipStore.states.getView(key, this.#nowMs);
  }

  states(prefix: string): readonly StateView[] {
    const { states } = this.#gossipStore;
    return states.listKeys(prefix)
      .map((key) => states.getView(key, this.#nowMs))
      .filter((view) => view !== undefined);
  }

  summary() {
    return this.#contacts.buildSummary(this.#nowMs);
  }

  /**
   * Excludes a time without events, as after a freeze of this process, from the
   * suspicion of others.
   */
  #handleFreeze(nowMs: number): void {
    const gapMs = nowMs - this.#nowMs;
    if (!this.#started || gapMs < this.#timings.probeIntervalMs) return;
    if (gapMs >= this.#timings.contactFreshMs / 2) {
      this.#discoveryUntilMs = nowMs + DISCOVERY_MS;
    }
    this.#gossipStore.members.shift(gapMs);
    this.#prober.reset();
  }

  #start(nowMs: number): MembershipAction[] {
    this.#started = true;
    this.#discoveryUntilMs = nowMs + DISCOVERY_MS;
    this.#nextGossipMs = nowMs +
      this.#options.random() * this.#timings.gossipIntervalMs;
    this.#gossipStore.updateSelf({}, nowMs);
    return this.#tick(nowMs);
  }

  #tick(nowMs: number): MembershipAction[] {
    if (!this.#started) return [];
    const actions: MembershipAction[] = [];
    if (nowMs >= this.#nextExpireMs) {
      this.#nextExpireMs = nowMs + EXPIRE_INTERVAL_MS;
      actions.push(...this.#gossipStore.expire(nowMs));
    }
    const members = this.#gossipStore.members.listReachable();
    const hasMassLoss = this.#gossipStore.members.hasMassLoss(nowMs);
    for (
      const step of this.#prober.advance(members, { nowMs, hasMassLoss })
    ) {
      actions.push(...this.#applyStep(step, nowMs));
    }
    const contact = this.#contacts.takeContact(nowMs);
    if (contact !== undefined) {
      actions.push(this.#messenger.buildSummary(contact, true, nowMs));
    }
    for (const address of this.#contacts.takeRejoins(nowMs)) {
      actions.push(this.#messenger.buildPull(address, nowMs));
    }
    actions.push(...this.#messenger.sync(members, nowMs));
    if (nowMs >= this.#nextGossipMs) {
      this.#nextGossipMs = nowMs + this.#timings.gossipIntervalMs;
      const target = pickRandom(members, this.#options.random);
      if (target) actions.push(...this.#messenger.gossip(target, nowMs));
    }
    return actions;
  }

  #applyStep(step: ProbeStep, nowMs: number): MembershipAction[] {
    if (step.type === "probe") {
      return [this.#messenger.buildProbe(step.target, step.sequence, nowMs)];
    }
    if (step.type === "request") {
      return step.helpers.map((helper) =>
        this.#messenger.buildProbeRequest(helper, step, nowMs)
      );
    }
    const { members } = this.#gossipStore;
    const changes = members.suspect(step.target.processId, nowMs);
    const actions = this.#gossipStore.recordChanges(changes, nowMs);
    // Notify the suspect first, so that it can refute in time.
    if (changes.length > 0) {
      actions.push(...this.#messenger.gossip(step.target, nowMs));
    }
    return actions;
  }

  /**
   * Announces a newer configuration at once. The first one after a start is not
   * announced, because others know it already.
   */
  #setDigest(sequence: number, nowMs: number): MembershipAction[] {
    const previous = this.#messenger.digest;
    this.#messenger.digest = sequence;
    const isNewer = this.#started && previous > 0 && sequence > previous;
    return isNewer ? this.#messenger.announceDigest(nowMs) : [];
  }

  #setState(
    event: Extract<MembershipEvent, { type: "set_state" }>,
    nowMs: number,
  ): MembershipAction[] {
    const { key, value, version, scope, ttlMs, urgent = false } = event;
    const { region } = this.#options.self;
    if (scope === "global") this.#contacts.recordGlobalState(nowMs);
    return this.#gossipStore.merge(
      {
        type: "state",
        key,
        value,
        version,
        scope,
        region,
        ageMs: 0,
        ttlMs,
        urgent,
      },
      nowMs,
    );
  }

  #leave(nowMs: number): MembershipAction[] {
    this.#gossipStore.updateSelf({ state: "leaving" }, nowMs);
    const members = this.#gossipStore.members.listReachable();
    const targets = takeRandom(members, LEAVE_FANOUT, this.#options.random);
    const actions = targets.flatMap((target) =>
      this.#messenger.gossip(target, nowMs)
    );
    for (const address of this.#contacts.pickEachRegion()) {
      actions.push(this.#messenger.buildSummary(address, false, nowMs));
    }
    return actions;
  }

  #listRemoteMembers(): MemberUpdate[] {
    const sinceMs = this.#nowMs - this.#timings.contactFreshMs;
    const { regions } = this.#gossipStore;
    return regions.listNames().flatMap((name) =>
      regions.listContacts(name, sinceMs).map(toMember)
    );
  }
}

/** Converts the record of another region's entry, whose counter is not known. */
function toMember(record: MemberRecord): MemberUpdate {
  return { type: "member", ...record, counter: 0, state: "alive" };
}
