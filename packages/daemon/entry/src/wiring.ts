/**
 * Wires the parts of the entry daemon.
 *
 * @module
 */

import { randomBytes, randomUUID } from "node:crypto";
import type { RequestListener } from "node:http";
import { createIssuedKeys } from "@dotterelmoor/core.claiming";
import { computeFingerprint } from "@dotterelmoor/core.quarantine";
import { createRetryBudget } from "@dotterelmoor/core.retrying";
import type { RetryBudget } from "@dotterelmoor/core.retrying";
import { buildGroupKey, buildLookupAnswer } from "@dotterelmoor/core.steering";
import { DisposableStore } from "@dotterelmoor/core.types";
import type {
  ConfigurationSnapshot,
  JsonValue,
  ListedInstance,
} from "@dotterelmoor/core.types";
import type { EntrySettings } from "@dotterelmoor/config.settings";
import { createBackendClient } from "@dotterelmoor/network.backend";
import {
  createPeerPool,
  createPeerServer,
} from "@dotterelmoor/network.peering";
import type {
  PeerHandlers,
  PeerIdentity,
  PeerMessageType,
} from "@dotterelmoor/network.peering";
import { createPlatformClient } from "@dotterelmoor/network.platform";
import { createPeerHandlers } from "./connection/peer_handlers.ts";
import { createClaimsPart } from "./process/claims_part.ts";
import { createClock } from "./process/clock.ts";
import { createConfigurationPart } from "./process/configuration_part.ts";
import { createGroupOwner } from "./process/group_owner.ts";
import {
  createGroups,
  findService,
  listGroupResources,
} from "./process/groups.ts";
import { ENTRY_SERVICE, startInstanceWatch } from "./process/instance_watch.ts";
import { startInterval } from "./process/intervals.ts";
import { leaveSystem } from "./process/leaving.ts";
import { buildLinkKey, createLinkPart } from "./process/link_part.ts";
import { openListener } from "./process/listeners.ts";
import { createLogging } from "./process/logging.ts";
import { createMembershipPart } from "./process/membership_part.ts";
import { createMetrics } from "./process/metrics.ts";
import { openOperators } from "./process/operators.ts";
import { createOwnershipPart } from "./process/ownership_part.ts";
import { createQuarantinePart } from "./process/quarantine_part.ts";
import { createQuarantineSpread } from "./process/quarantine_spread.ts";
import { createReports } from "./process/reports.ts";
import { createCallerApp } from "./request/caller_app.ts";
import type { LookupResult } from "./request/caller_app.ts";
import { runRequest } from "./request/front.ts";
import type { CallerRequest, FrontParts } from "./request/front.ts";
import { createKeyClaimer } from "./request/key_claims.ts";
import { createTargetRunner } from "./request/target_runner.ts";
import { createRoutingView } from "./version/routing_view.ts";
import type { RoutingView } from "./version/routing_view.ts";

const PLATFORM_TIMEOUT_MS = 2_000;
const MEMBERS_INTERVAL_MS = 500;
const MAX_CALLER_CONNECTIONS = 4_096;
const ISSUED_KEY_SECRET_BYTES = 32;
/** Other entries stop steering to a group that is silent for this long. */
const GROUP_STATE_TTL_MS = 10_000;

/** A running entry. */
export interface RunningEntry {
  readonly callers: string;
  readonly peers: string;
  readonly operators: string;
  /** Resolves once this entry has a configuration and may serve. */
  readonly ready: Promise<void>;
  /** Leaves the system gracefully and releases everything. */
  leave(): Promise<void>;
}

/** Addresses that other processes use to reach this one. */
interface Addresses {
  readonly callers: string;
  readonly peers: string;
}

type Base = ReturnType<typeof createBase>;
type Parts = ReturnType<typeof createParts>;

/** Starts an entry. */
export async function startEntry(
  settings: EntrySettings,
): Promise<RunningEntry> {
  const base = createBase(settings);
  const callerHandler = createDeferred<RequestListener>();
  const callers = await openListener({
    host: settings.callers.host,
    port: settings.callers.port,
    maxConnections: MAX_CALLER_CONNECTIONS,
    handler: (request, response) => callerHandler.get()?.(request, response),
  });
  const peerHandlers = createDeferred<PeerHandlers>();
  const peers = await createPeerServer({
    host: settings.peers.host,
    port: settings.peers.port,
    identity: base.identity,
    token: settings.peerToken,
    handlers: deferHandlers(peerHandlers),
    log: base.logOf("peer"),
  });
  base.store.add(() => peers.close());
  const parts = createParts(base, {
    callers: settings.callers.advertise ?? callers.address,
    peers: settings.peers.advertise ?? peers.address,
  });
  const requests = createRequests(base, parts);
  peerHandlers.set(requests.peerHandlers);
  callerHandler.set(requests.callerApp.callback());
  const operators = await openOperatorListener(base, parts);
  startParts(base, parts);
  return {
    callers: callers.address,
    peers: peers.address,
    operators: operators.address,
    ready: parts.ready,
    leave: async () => {
      base.state.leaving = true;
      await leaveSystem({
        lookupTtlMs: settings.lookupTtlMs,
        nowMs: base.clock.nowMs,
        log: base.logOf("entry"),
        announce: () => parts.membership.send({ type: "leave" }),
        handOver: () => {
          parts.ownership.send({ type: "leave" });
          return parts.left;
        },
        countRequests: requests.count,
        closeListeners: async () => {
          await Promise.all([callers.close(), operators.close()]);
        },
      });
      await base.store.dispose();
    },
  };
}

function createBase(settings: EntrySettings) {
  const store = new DisposableStore();
  const processId = randomUUID();
  const state = {
    incarnation: 0,
    leaving: false,
    view: undefined as RoutingView | undefined,
    instances: [] as readonly ListedInstance[],
  };
  const identity = (): PeerIdentity => ({
    incarnation: state.incarnation,
    processId,
    instance: settings.instance,
    region: settings.region,
    zone: settings.zone,
  });
  const logOf = createLogging({
    level: settings.logLevel,
    instance: settings.instance,
  });
  const platform = createPlatformClient({
    url: settings.platformUrl,
    timeoutMs: PLATFORM_TIMEOUT_MS,
  });
  const backend = createBackendClient();
  const peers = createPeerPool({
    identity,
    token: settings.peerToken,
    log: logOf("peer"),
  });
  const metrics = createMetrics({
    receiver: settings.metrics,
    instance: settings.instance,
    region: settings.region,
  });
  store.add(() => metrics.close());
  store.add(() => platform.close());
  store.add(() => backend.close());
  store.add(() => peers.close());
  return {
    settings,
    store,
    processId,
    state,
    identity,
    logOf,
    platform,
    backend,
    peers,
    metrics,
    clock: createClock(),
    random: Math.random,
  };
}

function createParts(base: Base, addresses: Addresses) {
  const { clock, platform, peers, random, settings, state, store } = base;
  const ready = createSignal();
  const left = createSignal();
  const membership = createMembershipPart({
    self: {
      ...base.identity(),
      peerAddress: addresses.peers,
      callerAddress: addresses.callers,
    },
    seeds: settings.seeds,
    random,
    clock,
    peers,
    store,
    log: base.logOf("member"),
    onMemberChanged: (member, memberState) => {
      if (memberState === "dead") peers.closePeer(member.peerAddress);
    },
    onStateChanged: (key, value) => spread.applyState(key, value),
    onDigest: (address, sequence) =>
      configuration.send({ type: "digest", address, sequence }),
  });
  const configuration = createConfigurationPart({
    seeds: settings.seeds,
    random,
    clock,
    platform,
    peers,
    store,
    log: base.logOf("config"),
    onApply: (snapshot) => applySnapshot(snapshot),
  });
  const claims = createClaimsPart({ clock, platform, store });
  const ownership = createOwnershipPart({
    identity: {
      instance: settings.instance,
      region: settings.region,
      zone: settings.zone,
      address: addresses.peers,
      processId: base.processId,
    },
    random,
    clock,
    platform,
    peers,
    store,
    log: base.logOf("lease"),
    findAddress: membership.findAddress,
    onOpened: (resource, fence) => {
      if (resource.startsWith("links/")) links.open(resource);
      else groups.open(resource, fence);
    },
    onClosed: (resource) => {
      if (resource.startsWith("links/")) links.close(resource);
      else groups.close(resource);
    },
    onHandingOver: (resource) => {
      const onDrained = () => ownership.send({ type: "drained", resource });
      if (resource.startsWith("links/")) onDrained();
      else groups.handOver(resource, onDrained);
    },
    onSession: (incarnation) => {
      state.incarnation = incarnation;
      claims.setIncarnation(incarnation);
      membership.send({ type: "identity", incarnation });
    },
    onLeft: () => left.resolve(),
  });
  const links = createLinkPart({
    region: settings.region,
    processId: base.processId,
    clock,
    peers,
    store,
    findLedger: (resource) => {
      const untilMs = ownership.ownership.authorityUntilMs(
        resource,
        clock.nowMs(),
      );
      if (untilMs > clock.nowMs()) return "self";
      return findOwnerAddress(resource);
    },
  });
  const quarantine = createQuarantinePart({
    clock,
    store,
    log: base.logOf("owner"),
    onSuspect: (fingerprint) => spread.notifySuspect(fingerprint),
    onConvicted: (fingerprint, remainingMs) =>
      spread.notifyConvicted(fingerprint, remainingMs),
    onLifted: (fingerprint) => spread.notifyLifted(fingerprint),
  });
  const spread = createQuarantineSpread({
    clock,
    platform,
    store,
    setState: (key, value, ttlMs) => setGlobalState(key, value, ttlMs),
    send: quarantine.send,
    findService: () => undefined,
  });
  const groups = createGroups({
    region: settings.region,
    clock,
    backend: base.backend,
    store,
    metrics: base.metrics,
    log: base.logOf("owner"),
    createOwner: (options) =>
      createGroupOwner({
        ...options,
        clock,
        random,
        backend: base.backend,
        quarantine,
        authorityUntilMs: () =>
          ownership.ownership.authorityUntilMs(
            buildGroupKey(options.service, options.region),
            clock.nowMs(),
          ),
      }),
    publish: ({ key, state: group, urgent }) =>
      membership.send({
        type: "set_state",
        key,
        value: {
          ...group,
          ownerProcess: base.processId,
          owner: state.incarnation,
          address: addresses.peers,
        },
        version: [group.fence, group.sequence],
        scope: "global",
        ttlMs: GROUP_STATE_TTL_MS,
        urgent,
      }),
  });

  function setGlobalState(key: string, value: JsonValue, ttlMs: number): void {
    const version = [clock.wallMs(), 0] as const;
    membership.send({
      type: "set_state",
      key,
      value,
      version,
      scope: "global",
      ttlMs,
      urgent: true,
    });
  }

  function applySnapshot(snapshot: ConfigurationSnapshot): void {
    state.view = createRoutingView({
      snapshot,
      region: settings.region,
      membership: membership.membership,
    });
    membership.send({ type: "set_digest", sequence: snapshot.sequence });
    links.update(snapshot.platform.links);
    groups.setSnapshot(snapshot);
    ownership.send({
      type: "resources",
      resources: [
        ...listGroupResources(snapshot, settings.region),
        ...snapshot.platform.links
          .filter((link) => link.from === settings.region)
          .map((link) => buildLinkKey(link.from, link.to)),
      ],
    });
    ready.resolve();
  }

  function findOwnerAddress(resource: string): string | undefined {
    const owner = ownership.ownership.ownerOf(resource);
    if (owner === undefined || owner.owner === 0) return undefined;
    return membership.findAddress(owner.owner) ?? owner.address;
  }

  return {
    membership,
    configuration,
    claims,
    ownership,
    links,
    quarantine,
    spread,
    groups,
    findOwnerAddress,
    ready: ready.promise,
    left: left.promise,
  };
}

function createRequests(base: Base, parts: Parts) {
  const { clock, settings, state } = base;
  const issuedKeys = createIssuedKeys({
    processId: base.processId,
    secret: randomBytes(ISSUED_KEY_SECRET_BYTES),
    random: base.random,
  });
  const budgets = new Map<string, RetryBudget>();
  let requests = 0;

  const frontParts: FrontParts = {
    region: settings.region,
    random: base.random,
    nowMs: clock.nowMs,
    getView: () => state.view,
    computeFingerprint: (request, key) =>
      computeFingerprint({ ...request, key }),
    claimKey: createKeyClaimer({
      processId: base.processId,
      nowMs: clock.nowMs,
      issuedKeys,
      claims: parts.claims,
      peers: base.peers,
      findProcess: parts.membership.findProcess,
    }),
    takeRetry: (service) => takeRetry(service),
    runAtTarget: createTargetRunner({
      region: settings.region,
      nowMs: clock.nowMs,
      groups: parts.groups,
      links: parts.links,
      peers: base.peers,
      findOwnerAddress: parts.findOwnerAddress,
    }),
  };

  function getBudget(service: string): RetryBudget | undefined {
    const document = findService(state.view?.snapshot, service);
    if (document === undefined) return undefined;
    let budget = budgets.get(service);
    if (budget === undefined) {
      budget = createRetryBudget({ limits: document.retry });
      budgets.set(service, budget);
    }
    return budget;
  }

  function takeRetry(service: string): boolean {
    const actions = getBudget(service)?.handle(
      { type: "retry", id: service },
      clock.nowMs(),
    );
    return actions?.some(({ type }) => type === "granted") ?? false;
  }

  async function run(request: CallerRequest, signal: AbortSignal) {
    getBudget(request.service)?.handle({ type: "request" }, clock.nowMs());
    requests += 1;
    try {
      return await runRequest(frontParts, request, signal);
    } finally {
      requests -= 1;
    }
  }

  function lookUp(service: string, client: string): LookupResult {
    const view = state.view!;
    const answer = buildLookupAnswer({
      service,
      client,
      homeRegion: view.resolveHome(client),
      snapshot: view.snapshot,
      members: parts.membership.membership.members(),
      groups: view.listGroups(service),
      nowMs: clock.nowMs(),
    });
    const key = needsKey(view, service)
      ? issuedKeys.issue(clock.nowMs())
      : undefined;
    return { ...answer, ttlMs: settings.lookupTtlMs, issuedKey: key };
  }

  const callerApp = createCallerApp({
    lookUp,
    runRequest: run,
    isReady: () => parts.configuration.keeper.isReady(),
    isLeaving: () => state.leaving,
    nowMs: clock.nowMs,
    onAnswer: ({ request, outcome, latencyMs }) => {
      const reason = outcome.type === "answered" ? "" : outcome.reason;
      base.metrics.recordLatency(request.service, latencyMs);
      base.metrics.recordOutcome(request.service, outcome.type, reason);
    },
  });
  const peerHandlers = createPeerHandlers({
    ...parts,
    region: settings.region,
    nowMs: clock.nowMs,
    runSubmitted: run,
    findOwnerAddress: (service) =>
      parts.findOwnerAddress(buildGroupKey(service, settings.region)),
  });
  return { callerApp, peerHandlers, count: () => requests };
}

function needsKey(view: RoutingView, service: string): boolean {
  const kinds = findService(view.snapshot, service)?.kinds ?? [];
  return kinds.some((kind) => !kind.repeatable);
}

function openOperatorListener(base: Base, parts: Parts) {
  const { settings, state } = base;
  return openOperators({
    host: settings.operators.host,
    port: settings.operators.port,
    platform: base.platform,
    tokens: settings.operatorTokens,
    log: base.logOf("operator"),
    reports: createReports({
      ...parts,
      instance: settings.instance,
      region: settings.region,
      zone: settings.zone,
      nowMs: base.clock.nowMs,
      listInstances: () => state.instances,
      findQuarantinedService: () => undefined,
    }),
  });
}

/** Starts joining once every part exists and can take events. */
function startParts(base: Base, parts: Parts): void {
  const { membership, configuration, ownership } = parts;
  const { region } = base.settings;
  startInstanceWatch({
    platform: base.platform,
    store: base.store,
    onInstances: (instances) => {
      base.state.instances = instances;
      parts.groups.setInstances(instances);
      const entries = instances.filter(({ service }) =>
        service === ENTRY_SERVICE
      );
      ownership.send({ type: "instances", ids: entries.map(({ id }) => id) });
    },
  });
  startInterval(base.store, MEMBERS_INTERVAL_MS, () => {
    const live = membership.membership.liveMembers();
    ownership.send({
      type: "members",
      members: live
        .filter((member) => member.region === region && member.incarnation > 0)
        .map((member) => ({ ...member, address: member.peerAddress })),
    });
    const others = live.filter((member) => member.processId !== base.processId);
    configuration.send({
      type: "peers",
      addresses: others.map((member) => member.peerAddress),
      entries: live.length,
    });
  });
  membership.start();
  ownership.start();
  void parts.spread.readTable();
}

interface Deferred<T> {
  get(): T | undefined;
  set(value: T): void;
}

function createDeferred<T>(): Deferred<T> {
  let current: T | undefined;
  return {
    get: () => current,
    set: (value) => {
      current = value;
    },
  };
}

function createSignal() {
  let resolve = () => {};
  const promise = new Promise<void>((done) => {
    resolve = done;
  });
  return { promise, resolve: () => resolve() };
}

/** Handlers that stand in until the parts behind them exist. */
function deferHandlers(deferred: Deferred<PeerHandlers>): PeerHandlers {
  const types: readonly PeerMessageType[] = [
    "config_pull",
    "config_push",
    "exec",
    "membership",
    "permit",
    "promise",
    "submit",
  ];
  return Object.fromEntries(types.map((type) => [
    type,
    (message: never, context: never) =>
      (deferred.get()?.[type] as PeerHandlers["exec"])?.(message, context) ??
        Promise.resolve(undefined),
  ]));
}
