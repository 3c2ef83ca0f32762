/**
 * Builds the parts that live as long as the process.
 *
 * @module
 */

import { buildGroupKey } from "@dotterelmoor/core.steering";
import type {
  ConfigurationSnapshot,
  JsonValue,
} from "@dotterelmoor/core.types";
import { createClaimsPart } from "../process/claims_part.ts";
import type { ClaimsPart } from "../process/claims_part.ts";
import { createConfigurationPart } from "../process/configuration_part.ts";
import type { ConfigurationPart } from "../process/configuration_part.ts";
import { createGroupOwner } from "../process/group_owner.ts";
import { createGroups, listGroupResources } from "../process/groups.ts";
import type { Groups } from "../process/groups.ts";
import { buildLinkKey, createLinkPart } from "../process/link_part.ts";
import type { LinkPart } from "../process/link_part.ts";
import { createMembershipPart } from "../process/membership_part.ts";
import type { MembershipPart } from "../process/membership_part.ts";
import { createOwnershipPart } from "../process/ownership_part.ts";
import type { OwnershipPart } from "../process/ownership_part.ts";
import { createQuarantinePart } from "../process/quarantine_part.ts";
import type { QuarantinePart } from "../process/quarantine_part.ts";
import { createQuarantineSpread } from "../process/quarantine_spread.ts";
import type { QuarantineSpread } from "../process/quarantine_spread.ts";
import { createOneShotEvent } from "../process/signal.ts";
import type { OneShotEvent } from "../process/signal.ts";
import { createRoutingView } from "../version/routing_view.ts";
import type { Base } from "./base.ts";
import { publishGroup } from "./publishing.ts";
import { notifySuccessor, sendMembers } from "./members.ts";

const LINK_PREFIX = "links/";

/** Capacity told to peers, in thousandths of a core. Entries of documents are
 * of one size, so only that it is the same for all matters. */
const ENTRY_CAPACITY = 1_000;

/** Addresses that other processes use to reach this one. */
export interface Addresses {
  readonly callers: string;
  readonly peers: string;
}

/** Parts of one process. */
export interface Parts {
  readonly addresses: Addresses;
  readonly membership: MembershipPart;
  readonly configuration: ConfigurationPart;
  readonly claims: ClaimsPart;
  readonly ownership: OwnershipPart;
  readonly links: LinkPart;
  readonly quarantine: QuarantinePart;
  readonly spread: QuarantineSpread;
  readonly groups: Groups;
  /** Set once this entry has a configuration that it may serve by. */
  readonly ready: OneShotEvent;
  /** Set once everything owned has been handed over. */
  readonly left: OneShotEvent;
}

type Building = { -readonly [Name in keyof Parts]: Parts[Name] };

/**
 * Creates the parts. Each one refers to the others only when it handles an
 * event, and no event comes before all of them exist.
 */
export function createParts(base: Base, addresses: Addresses): Parts {
  const { clock, platform, store } = base;
  const parts = {
    addresses,
    ready: createOneShotEvent(),
    left: createOneShotEvent(),
  };
  const building = parts as Building;
  building.membership = buildMembership(base, building);
  building.configuration = buildConfiguration(base, building);
  building.claims = createClaimsPart({
    clock,
    platform,
    store,
    createMachine: base.createMachine,
  });
  building.ownership = buildOwnership(base, building);
  building.links = buildLinks(base, building);
  building.quarantine = buildQuarantine(base, building);
  building.spread = buildSpread(base, building);
  building.groups = buildGroups(base, building);
  return building;
}

/** Finds the peer address of a resource's owner. */
export function findOwnerAddress(
  parts: Parts,
  resource: string,
): string | undefined {
  const owner = parts.ownership.ownership.ownerOf(resource);
  if (owner === undefined || owner.owner === 0) return undefined;
  return parts.membership.findAddress(owner.owner) ?? owner.address;
}

function buildMembership(base: Base, parts: Parts): MembershipPart {
  const { clock, peers, random, settings, store } = base;
  return createMembershipPart({
    createMachine: base.createMachine,
    self: {
      ...base.identity(),
      peerAddress: parts.addresses.peers,
      callerAddress: parts.addresses.callers,
      capacity: ENTRY_CAPACITY,
    },
    seeds: settings.seeds,
    random,
    clock,
    peers,
    store,
    log: base.logOf("member"),
    onMemberChanged: (member, state) => {
      sendMembers(base, parts);
      if (state === "dead") peers.closePeer(member.peerAddress);
    },
    onStateChanged: (key, value) => parts.spread.applyState(key, value),
    onDigest: (address, sequence) =>
      parts.configuration.send({ type: "digest", address, sequence }),
  });
}

function buildConfiguration(base: Base, parts: Parts): ConfigurationPart {
  const { clock, peers, platform, random, settings, store } = base;
  return createConfigurationPart({
    createMachine: base.createMachine,
    seeds: settings.seeds,
    random,
    clock,
    platform,
    peers,
    store,
    log: base.logOf("config"),
    onApply: (snapshot) => applySnapshot(base, parts, snapshot),
    onReady: () => parts.ready.set(),
  });
}

function applySnapshot(
  base: Base,
  parts: Parts,
  snapshot: ConfigurationSnapshot,
): void {
  const { region } = base.settings;
  base.state.view = createRoutingView({
    snapshot,
    region,
    membership: parts.membership.membership,
  });
  parts.membership.send({ type: "set_digest", sequence: snapshot.sequence });
  parts.links.setSnapshot(snapshot);
  parts.groups.setSnapshot(snapshot);
  const links = snapshot.platform.links
    .filter((link) => link.from === region)
    .map((link) => buildLinkKey(link.from, link.to));
  parts.ownership.send({
    type: "resources",
    resources: [...listGroupResources(snapshot, region), ...links],
  });
}

function buildOwnership(base: Base, parts: Parts): OwnershipPart {
  const { clock, peers, platform, random, store } = base;
  return createOwnershipPart({
    createMachine: base.createMachine,
    identity: { ...base.identity(), address: parts.addresses.peers },
    random,
    clock,
    platform,
    peers,
    store,
    log: base.logOf("lease"),
    findAddress: (incarnation) => parts.membership.findAddress(incarnation),
    onOpened: (resource, fence) => {
      if (resource.startsWith(LINK_PREFIX)) parts.links.open(resource);
      else parts.groups.open(resource, fence);
    },
    onClosed: (resource) => {
      if (resource.startsWith(LINK_PREFIX)) parts.links.close(resource);
      else parts.groups.close(resource);
    },
    onHandingOver: (resource) => {
      const onDrained = () =>
        parts.ownership.send({ type: "drained", resource });
      if (resource.startsWith(LINK_PREFIX)) onDrained();
      else parts.groups.handOver(resource, onDrained);
    },
    onHandedOver: (handover) => notifySuccessor(base, parts, handover),
    onSession: (incarnation) => {
      base.state.incarnation = incarnation;
      parts.claims.setIncarnation(incarnation);
      parts.membership.send({ type: "identity", incarnation });
    },
    onLeft: () => parts.left.set(),
  });
}

function readAuthority(base: Base, parts: Parts, resource: string): number {
  return parts.ownership.ownership.authorityUntilMs(
    resource,
    base.clock.nowMs(),
  );
}

function buildLinks(base: Base, parts: Parts): LinkPart {
  const { clock, peers, processId, settings, store } = base;
  return createLinkPart({
    region: settings.region,
    processId,
    clock,
    peers,
    store,
    createMachine: base.createMachine,
    findLedger: (resource) =>
      readAuthority(base, parts, resource) > clock.nowMs()
        ? "self"
        : findOwnerAddress(parts, resource),
  });
}

function buildQuarantine(base: Base, parts: Parts): QuarantinePart {
  return createQuarantinePart({
    createMachine: base.createMachine,
    clock: base.clock,
    store: base.store,
    log: base.logOf("owner"),
    onSuspect: (fingerprint) => parts.spread.notifySuspect(fingerprint),
    onConvicted: (conviction) => parts.spread.notifyConvicted(conviction),
    onLifted: (fingerprint) => parts.spread.notifyLifted(fingerprint),
  });
}

function buildSpread(base: Base, parts: Parts): QuarantineSpread {
  const { clock, platform, store } = base;
  return createQuarantineSpread({
    clock,
    platform,
    store,
    send: (event) => parts.quarantine.send(event),
    setState: (key, value, ttlMs) =>
      setGlobalState(base, parts, { key, value, ttlMs }),
  });
}

interface GlobalState {
  readonly key: string;
  readonly value: JsonValue;
  readonly ttlMs: number;
}

function setGlobalState(base: Base, parts: Parts, state: GlobalState): void {
  parts.membership.send({
    type: "set_state",
    ...state,
    version: [base.clock.wallMs(), 0],
    scope: "global",
    urgent: true,
  });
}

function buildGroups(base: Base, parts: Parts): Groups {
  const { backend, clock, metrics, random, settings, store } = base;
  return createGroups({
    region: settings.region,
    clock,
    backend,
    store,
    metrics,
    log: base.logOf("owner"),
    createOwner: (options) =>
      createGroupOwner({
        ...options,
        clock,
        random,
        backend,
        store,
        createMachine: base.createMachine,
        quarantine: parts.quarantine,
        authorityUntilMs: () =>
          readAuthority(
            base,
            parts,
            buildGroupKey(options.service, options.region),
          ),
      }),
    publish: (publication) => publishGroup(base, parts.membership, publication),
  });
}
