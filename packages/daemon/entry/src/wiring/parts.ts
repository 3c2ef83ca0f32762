/**
 * Builds the components that live as long as the process.
 *
 * @module
 */

import { buildGroupKey } from "@dotterelmoor/core.steering";
import type {
  ConfigurationSnapshot,
  JsonValue,
} from "@dotterelmoor/core.types";
import { createClaimsComponent } from "../process/claims_component.ts";
import type { ClaimsComponent } from "../process/claims_component.ts";
import { createConfigurationComponent } from "../process/configuration_component.ts";
import type { ConfigurationComponent } from "../process/configuration_component.ts";
import { createGroupOwner } from "../process/group_owner.ts";
import { createGroups, listGroupResources } from "../process/groups.ts";
import type { Groups } from "../process/groups.ts";
import {
  buildLinkKey,
  createLinkComponent,
} from "../process/link_component.ts";
import type { LinkComponent } from "../process/link_component.ts";
import { createMembershipComponent } from "../process/membership_component.ts";
import type { MembershipComponent } from "../process/membership_component.ts";
import { createOwnershipComponent } from "../process/ownership_component.ts";
import type { OwnershipComponent } from "../process/ownership_component.ts";
import { createQuarantineComponent } from "../process/quarantine_component.ts";
import type { QuarantineComponent } from "../process/quarantine_component.ts";
import { createQuarantineSpread } from "../process/quarantine_spread.ts";
import type { QuarantineSpread } from "../process/quarantine_spread.ts";
import { createOneShotEvent } from "../process/one_shot_event.ts";
import type { OneShotEvent } from "../process/one_shot_event.ts";
import { createRoutingView } from "../version/routing_view.ts";
import type { ProcessContext } from "./process_context.ts";
import { publishGroup } from "./publishing.ts";
import { notifySuccessor, sendMembers } from "./members.ts";

const LINK_PREFIX = "links/";

/**
 * Capacity reported to peers, in thousandths of a core. Entries that are
 * configured by documents are all of the same size, so the value only has to be
 * the same for all.
 */
const ENTRY_CAPACITY = 1_000;

/** Addresses that other processes use to reach this one. */
export interface Addresses {
  readonly callers: string;
  readonly peers: string;
}

/** Components of one process. */
export interface Components {
  readonly addresses: Addresses;
  readonly membership: MembershipComponent;
  readonly configuration: ConfigurationComponent;
  readonly claims: ClaimsComponent;
  readonly ownership: OwnershipComponent;
  readonly links: LinkComponent;
  readonly quarantine: QuarantineComponent;
  readonly spread: QuarantineSpread;
  readonly groups: Groups;
  /** Set once this entry has a configuration and may serve. */
  readonly ready: OneShotEvent;
  /** Set once all owned resources have been handed over. */
  readonly left: OneShotEvent;
}

type MutableComponents = {
  -readonly [Name in keyof Components]: Components[Name];
};

/**
 * Creates the components. They refer to each other only while they handle
 * events, and no event arrives before all of them exist.
 */
export function createComponents(
  context: ProcessContext,
  addresses: Addresses,
): Components {
  const { clock, platform, store } = context;
  const initial = {
    addresses,
    ready: createOneShotEvent(),
    left: createOneShotEvent(),
  };
  const components = initial as MutableComponents;
  components.membership = buildMembership(context, components);
  components.configuration = buildConfiguration(context, components);
  components.claims = createClaimsComponent({
    clock,
    platform,
    store,
    createMachine: context.createMachine,
  });
  components.ownership = buildOwnership(context, components);
  components.links = buildLinks(context, components);
  components.quarantine = buildQuarantine(context, components);
  components.spread = buildSpread(context, components);
  components.groups = buildGroups(context, components);
  return components;
}

/** Finds the peer address of a resource's owner. */
export function findOwnerAddress(
  components: Components,
  resource: string,
): string | undefined {
  const owner = components.ownership.ownership.getOwner(resource);
  if (owner === undefined || owner.owner === 0) return undefined;
  return components.membership.findAddress(owner.owner) ?? owner.address;
}

function buildMembership(
  context: ProcessContext,
  components: Components,
): MembershipComponent {
  const { clock, peers, random, settings, store } = context;
  return createMembershipComponent({
    createMachine: context.createMachine,
    self: {
      ...context.identity(),
      peerAddress: components.addresses.peers,
      callerAddress: components.addresses.callers,
      capacity: ENTRY_CAPACITY,
    },
    seeds: settings.seeds,
    random,
    clock,
    peers,
    store,
    log: context.getLogger("member"),
    onMemberChanged: (member, state) => {
      sendMembers(context, components);
      if (state === "dead") peers.closePeer(member.peerAddress);
    },
    onStateChanged: (key, value) => components.spread.applyState(key, value),
    onDigest: (address, sequence) =>
      components.configuration.send({ type: "digest", address, sequence }),
  });
}

function buildConfiguration(
  context: ProcessContext,
  components: Components,
): ConfigurationComponent {
  const { clock, peers, platform, random, settings, store } = context;
  return createConfigurationComponent({
    createMachine: context.createMachine,
    seeds: settings.seeds,
    random,
    clock,
    platform,
    peers,
    store,
    log: context.getLogger("config"),
    onApply: (snapshot) => applySnapshot(context, components, snapshot),
    onReady: () => components.ready.set(),
  });
}

function applySnapshot(
  context: ProcessContext,
  components: Components,
  snapshot: ConfigurationSnapshot,
): void {
  const { region } = context.settings;
  context.state.view = createRoutingView({
    snapshot,
    region,
    membership: components.membership.membership,
  });
  components.membership.send({
    type: "set_digest",
    sequence: snapshot.sequence,
  });
  components.links.setSnapshot(snapshot);
  components.groups.setSnapshot(snapshot);
  const links = snapshot.platform.links
    .filter((link) => link.from === region)
    .map((link) => buildLinkKey(link.from, link.to));
  components.ownership.send({
    type: "resources",
    resources: [...listGroupResources(snapshot, region), ...links],
  });
}

function buildOwnership(
  context: ProcessContext,
  components: Components,
): OwnershipComponent {
  const { clock, peers, platform, random, store } = context;
  return createOwnershipComponent({
    createMachine: context.createMachine,
    identity: { ...context.identity(), address: components.addresses.peers },
    random,
    clock,
    platform,
    peers,
    store,
    log: context.getLogger("lease"),
    findAddress: (incarnation) =>
      components.membership.findAddress(incarnation),
    onOpened: (resource, fence) => {
      if (resource.startsWith(LINK_PREFIX)) components.links.open(resource);
      else components.groups.open(resource, fence);
    },
    onClosed: (resource) => {
      if (resource.startsWith(LINK_PREFIX)) components.links.close(resource);
      else components.groups.close(resource);
    },
    onHandingOver: (resource) => {
      const onDrained = () =>
        components.ownership.send({ type: "drained", resource });
      if (resource.startsWith(LINK_PREFIX)) onDrained();
      else components.groups.handOver(resource, onDrained);
    },
    onHandedOver: (handover) => notifySuccessor(context, components, handover),
    onSession: (incarnation) => {
      context.state.incarnation = incarnation;
      components.claims.setIncarnation(incarnation);
      components.membership.send({ type: "identity", incarnation });
    },
    onLeft: () => components.left.set(),
  });
}

function readAuthority(
  context: ProcessContext,
  components: Components,
  resource: string,
): number {
  return components.ownership.ownership.authorityUntilMs(
    resource,
    context.clock.nowMs(),
  );
}

function buildLinks(
  context: ProcessContext,
  components: Components,
): LinkComponent {
  const { clock, peers, processId, settings, store } = context;
  return createLinkComponent({
    region: settings.region,
    processId,
    clock,
    peers,
    store,
    createMachine: context.createMachine,
    findLedger: (resource) =>
      readAuthority(context, components, resource) > clock.nowMs()
        ? "self"
        : findOwnerAddress(components, resource),
  });
}

function buildQuarantine(
  context: ProcessContext,
  components: Components,
): QuarantineComponent {
  return createQuarantineComponent({
    createMachine: context.createMachine,
    clock: context.clock,
    store: context.store,
    log: context.getLogger("owner"),
    onSuspect: (fingerprint) => components.spread.notifySuspect(fingerprint),
    onConvicted: (conviction) => components.spread.notifyConvicted(conviction),
    onLifted: (fingerprint) => components.spread.notifyLifted(fingerprint),
  });
}

function buildSpread(
  context: ProcessContext,
  components: Components,
): QuarantineSpread {
  const { clock, platform, store } = context;
  return createQuarantineSpread({
    clock,
    platform,
    store,
    send: (event) => components.quarantine.send(event),
    setState: (key, value, ttlMs) =>
      setGlobalState(context, components, { key, value, ttlMs }),
  });
}

interface GlobalState {
  readonly key: string;
  readonly value: JsonValue;
  readonly ttlMs: number;
}

function setGlobalState(
  context: ProcessContext,
  components: Components,
  state: GlobalState,
): void {
  components.membership.send({
    type: "set_state",
    ...state,
    version: [context.clock.wallMs(), 0],
    scope: "global",
    urgent: true,
  });
}

function buildGroups(context: ProcessContext, components: Components): Groups {
  const { backend, clock, metrics, random, settings, store } = context;
  return createGroups({
    region: settings.region,
    clock,
    backend,
    store,
    metrics,
    log: context.getLogger("owner"),
    createOwner: (options) =>
      createGroupOwner({
        ...options,
        clock,
        random,
        backend,
        store,
        createMachine: context.createMachine,
        quarantine: components.quarantine,
        authorityUntilMs: () =>
          readAuthority(
            context,
            components,
            buildGroupKey(options.service, options.region),
          ),
      }),
    publish: (publication) =>
      publishGroup(context, components.membership, publication),
  });
}
