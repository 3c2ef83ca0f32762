/**
 * Runs membership among the entries, and exchanges messages with them.
 *
 * @module
 */

import type { Catalog, CatalogPosition } from "@dotterelmoor/core.catalog";
import { createMembership } from "@dotterelmoor/core.membership";
import type {
  MemberRecord,
  Membership,
  MembershipAction,
  MembershipEvent,
  MembershipMessage,
} from "@dotterelmoor/core.membership";
import type { CatalogSource } from "@dotterelmoor/core.refreshing";
import { applyEvent } from "@dotterelmoor/core.types";
import type {
  DisposableStore,
  EventHandlers,
  Random,
} from "@dotterelmoor/core.types";
import {
  createPeerPool,
  createPeerServer,
} from "@dotterelmoor/network.peering";
import type {
  CatalogMessage,
  PeerHandlers,
  PeerMessage,
  PeerPool,
} from "@dotterelmoor/network.peering";
import type { Logger } from "pino";
import type { ListenAddress } from "../ports.ts";
import { createDeltaPacker } from "./delta_packing.ts";

/** Interval in milliseconds between ticks of the membership state machine. */
const TICK_MS = 100;

/** Timeout in milliseconds of a catalog pull. Other entries are asked long
 * before that, and know more by then than a later answer holds. */
const PULL_TIMEOUT_MS = 2_500;

/**
 * Timings of membership in milliseconds. Faster than the defaults: callers must
 * not be sent to a dead entry for more than 4 s, and regions have only a few
 * entries. Gossip is slower, because traffic between zones is billed.
 */
export const TIMINGS = {
  probeIntervalMs: 600,
  probeTimeoutMs: 250,
  suspicionMs: 1_200,
  gossipIntervalMs: 600,
  contactFreshMs: 4_000,
};

/** Options of `startPeers`. */
export interface PeersOptions {
  readonly self: MemberRecord;
  readonly listen: ListenAddress;
  readonly token: string;
  readonly seeds: readonly string[];
  readonly random: Random;
  readonly store: DisposableStore;
  readonly log: Logger;
  readonly catalog: Catalog;
  /** Time in milliseconds since the catalog was last known to be current. */
  readonly getCatalogAgeMs: () => number;
  /** Upper bound in milliseconds on the time since any entry first read the
   * configuration from the store. */
  readonly getDocumentAgeMs: () => number;
  /** Process id of the region's reader, as far as this entry knows. */
  readonly getReader: () => string | undefined;
  /** Called when a peer has another version of the configuration. */
  readonly onOtherVersion: (version: number, peerAddress: string) => void;
  /** Answers a peer's load report. */
  readonly answerLoads: PeerHandlers["load_report"];
  /** Writes a peer's crash notes and answers whether that succeeded. */
  readonly answerCrashes: PeerHandlers["crash_report"];
}

/** Connections to the other entries. */
export interface Peers {
  readonly membership: Membership;
  /** Sets the configuration version that is announced to peers. */
  setVersion(version: number): void;
  /** Adds peer addresses to contact as long as their entries are not known. */
  addSeeds(addresses: readonly string[]): void;
  /** Asks an entry for its catalog changes; undefined if it is not a live
   * member or does not answer. */
  pullCatalog(source: CatalogSource): Promise<CatalogMessage | undefined>;
  /** Finds the peer address of a random other live entry. */
  findOther(): string | undefined;
  /** Calls an entry; undefined if it does not answer within `timeoutMs`. */
  call(
    peerAddress: string,
    message: PeerMessage,
    timeoutMs: number,
  ): Promise<PeerMessage | undefined>;
  /** Announces to peers that this entry is leaving. */
  leave(): void;
}

/** Starts membership and the server for peers; rejects if it cannot listen. */
export async function startPeers(options: PeersOptions): Promise<Peers> {
  const { self, token, store, log } = options;
  const identity = {
    incarnation: self.incarnation,
    processId: self.processId,
    instance: self.instance,
    region: self.region,
    zone: self.zone,
  };
  const pool = createPeerPool({ identity, token });
  store.add(() => pool.close());
  const peers = new MembershipPeers(options, pool);
  const server = await createPeerServer({
    host: options.listen.host,
    port: options.listen.port,
    identity,
    token,
    log,
    handlers: {
      membership: ({ message }) => {
        peers.receive(message as MembershipMessage);
        return Promise.resolve(undefined);
      },
      catalog_pull: ({ position }) =>
        Promise.resolve(peers.answerPull(position)),
      load_report: options.answerLoads,
      crash_report: options.answerCrashes,
    },
  });
  store.add(() => server.close());
  peers.start();
  return peers;
}

/** Age in milliseconds reported for a catalog that was never current. */
const NEVER_READ_MS = 1e9;

class MembershipPeers implements Peers {
  readonly membership: Membership;
  readonly #options: PeersOptions;
  readonly #pool: PeerPool;
  readonly #packer = createDeltaPacker();
  readonly #handlers: EventHandlers<MembershipAction, void>;

  constructor(options: PeersOptions, pool: PeerPool) {
    const { self, seeds, random, log } = options;
    this.#options = options;
    this.#pool = pool;
    this.membership = createMembership({
      self,
      seeds: seeds.filter((address) => address !== self.peerAddress),
      random,
      timings: TIMINGS,
    });
    this.#handlers = {
      send: ({ address, message }) =>
        pool.notify(address, { type: "membership", message }),
      member_changed: ({ member, state }) => {
        log.info({ member: member.instance, state }, "Member changed.");
        // The connection may be broken; the next message opens a new one.
        if (state === "suspect") pool.closePeer(member.peerAddress);
      },
      state_changed: () => {},
      digest: ({ sequence, address }) =>
        options.onOtherVersion(sequence, address),
    };
  }

  start(): void {
    this.#send({ type: "start" });
    const timer = setInterval(() => this.#send({ type: "tick" }), TICK_MS);
    this.#options.store.add(() => clearInterval(timer));
  }

  receive(message: MembershipMessage): void {
    const fromAddress = message.sender.peerAddress;
    this.#send({ type: "message", fromAddress, message });
  }

  setVersion(version: number): void {
    this.#send({ type: "set_digest", sequence: version });
  }

  addSeeds(addresses: readonly string[]): void {
    this.#send({ type: "seeds", addresses });
  }

  answerPull(position: CatalogPosition): CatalogMessage {
    const { catalog, getCatalogAgeMs, getDocumentAgeMs, getReader } =
      this.#options;
    const packed = this.#packer.pack(catalog.changesSince(position, nowMs()));
    return {
      type: "catalog",
      ...packed,
      ageMs: Math.min(NEVER_READ_MS, getCatalogAgeMs()),
      documentAgeMs: packed.document && getDocumentAgeMs(),
      reader: getReader() ?? "",
    };
  }

  async pullCatalog(
    source: CatalogSource,
  ): Promise<CatalogMessage | undefined> {
    const peerAddress = this.#findAddress(source);
    if (peerAddress === undefined) return undefined;
    const answer = await this.call(
      peerAddress,
      { type: "catalog_pull", position: this.#options.catalog.position },
      PULL_TIMEOUT_MS,
    );
    return answer?.type === "catalog" ? answer : undefined;
  }

  findOther(): string | undefined {
    return this.#findAddress({ type: "any" });
  }

  #findAddress(source: CatalogSource): string | undefined {
    if (source.type === "address") return source.peerAddress;
    const { self, random } = this.#options;
    const others = this.membership.liveMembers().filter(({ processId }) =>
      processId !== self.processId &&
      (source.type === "any" || processId === source.processId)
    );
    return others[Math.floor(random() * others.length)]?.peerAddress;
  }

  async call(
    peerAddress: string,
    message: PeerMessage,
    timeoutMs: number,
  ): Promise<PeerMessage | undefined> {
    const result = await this.#pool.call(peerAddress, message, { timeoutMs });
    return result.type === "answered" ? result.message : undefined;
  }

  leave(): void {
    this.#send({ type: "leave" });
  }

  #send(event: MembershipEvent): void {
    for (const action of this.membership.handle(event, nowMs())) {
      applyEvent(this.#handlers, action, nowMs());
    }
  }
}

function nowMs(): number {
  return performance.now();
}
