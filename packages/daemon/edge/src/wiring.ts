/**
 * Wires the parts of one entry.
 *
 * @module
 */

import { randomBytes } from "node:crypto";
import type { Server } from "node:http";
import { createCatalog, createSplitter } from "@dotterelmoor/core.catalog";
import type { Catalog } from "@dotterelmoor/core.catalog";
import { createPlacer, parseObjectKey } from "@dotterelmoor/core.placing";
import type { Placer } from "@dotterelmoor/core.placing";
import { DisposableStore } from "@dotterelmoor/core.types";
import { createBackendClient } from "@dotterelmoor/network.backend";
import type { EdgePlatform, EdgeSettings, ListenAddress } from "./ports.ts";
import { Assignments } from "./process/assignments.ts";
import { createCallerServer } from "./process/caller_server.ts";
import { startCatalogWatch } from "./process/catalog_watch.ts";
import type { CatalogWatch } from "./process/catalog_watch.ts";
import { createConfigurationLog } from "./process/configuration_log.ts";
import { sortEntries } from "./process/entry_order.ts";
import { HeaderLimit } from "./process/header_limit.ts";
import { createEdgeLog } from "./process/logging.ts";
import type { EdgeLog } from "./process/logging.ts";
import {
  createLookupListener,
  createReadyListener,
  listen,
} from "./process/lookups.ts";
import { startLoadExchange } from "./process/load_exchange.ts";
import type { LoadExchange } from "./process/load_exchange.ts";
import { createEdgeMetrics } from "./process/metrics.ts";
import type { EdgeMetrics } from "./process/metrics.ts";
import { startPeers } from "./process/peers.ts";
import type { Peers } from "./process/peers.ts";
import { startStateSaving } from "./process/keeping.ts";
import type { StateSaving } from "./process/keeping.ts";
import { startRegistration } from "./process/registration.ts";
import type { Registration } from "./process/registration.ts";
import { startReports } from "./process/reports.ts";
import { createRetryBudgets } from "./process/retry_budgets.ts";
import { startStallDetector } from "./process/stalls.ts";
import type {
  MeasuringStallDetector,
  StallDetector,
} from "./process/stalls.ts";
import { BodyReader } from "./request/body.ts";
import { createForwarder } from "./request/forwarding.ts";
import { createFront } from "./request/front.ts";
import type { Front } from "./request/front.ts";
import { stopGracefully } from "./process/leaving.ts";
import { createQuarantineParts } from "./wiring/quarantine.ts";
import type { QuarantineParts } from "./wiring/quarantine.ts";

/** Timeout in milliseconds for opening a connection to a server: three round
 * trips between regions. */
const CONNECT_TIMEOUT_MS = 250;

/** Time in milliseconds after which an idle connection to a server is closed; a
 * shorter keep-alive time that a server announces takes precedence. */
const SERVER_IDLE_TIMEOUT_MS = 5_000;

/** Share of the process's memory for answers that are being read. As much again
 * is needed for bytes that were read but are not collected yet. */
const ANSWERS_SHARE = 0.09;

/** Share of the process's memory for callers' large bodies. */
const BODIES_SHARE = 0.18;

/** Time in milliseconds by which callers' idle connections stay open beyond the
 * configured idle timeout, so that a request sent just before the timeout does
 * not race with the close. */
const IDLE_MARGIN_MS = 1_000;

/** Capacity in thousandths of a core below which an entry starts so slowly that
 * those on larger instances have read the store before it. */
const SMALL_CAPACITY = 250;

/** Time in milliseconds that an entry on a small instance waits to find its
 * peers before it reads the store: two round trips to a seed in another
 * region. */
const JOIN_WAIT_MS = 300;

/** An entry that is starting or running. */
export interface Edge {
  /** Resolves once the entry listens on its addresses; rejects if it cannot. */
  readonly started: Promise<void>;
  /** Shuts down gracefully, within the platform's grace period. An entry that is
   * still starting leaves once it has started. */
  leave(): Promise<void>;
  /** Logs that the settings changed; they take effect at the next start. */
  noteReload(): void;
  /** Logs and counts an unhandled error; the process keeps serving. */
  noteError(error: unknown): void;
}

/** Creates an entry, which starts after this turn of the event loop, so that
 * signals can be handled before it opens a listener. */
export function createEdge(
  settings: EdgeSettings,
  platform: EdgePlatform,
): Edge {
  const shared = createSharedParts(settings, platform);
  const { log, metrics } = shared;
  const { region, zone } = settings;
  const edgeLog = log.part("edge");
  edgeLog.info({ region, zone, pid: process.pid }, "Starting.");
  const starting = start(shared);
  return {
    started: starting.then(() => {}),
    leave: async () => {
      shared.late.isLeaving = true;
      await stopEdge(shared, await starting);
    },
    noteReload: () => edgeLog.info("Settings changed; restart to apply them."),
    noteError: (error) => {
      metrics.unexpectedErrors.inc();
      log.decide("Unexpected error.", { err: error }, "edge");
    },
  };
}

async function start(shared: SharedParts): Promise<StartedParts> {
  await new Promise((resolve) => setImmediate(resolve));
  try {
    return await startParts(shared);
  } catch (error) {
    await shared.store.dispose();
    throw error;
  }
}

/** Starts an entry; rejects if it cannot listen on its addresses. */
export async function startEdge(
  settings: EdgeSettings,
  platform: EdgePlatform,
): Promise<Edge> {
  const edge = createEdge(settings, platform);
  await edge.started;
  return edge;
}

/** What the parts of the process share. */
interface SharedParts {
  readonly settings: EdgeSettings;
  readonly platform: EdgePlatform;
  readonly processId: string;
  readonly store: DisposableStore;
  readonly log: EdgeLog;
  readonly metrics: EdgeMetrics;
  readonly catalog: Catalog;
  readonly placer: Placer;
  readonly assignments: Assignments;
  /** Late-bound parts, which others refer to before they are created. */
  readonly late: {
    peers?: Peers;
    watch?: CatalogWatch;
    loads?: LoadExchange;
    stateSaving?: StateSaving;
    quarantine?: QuarantineParts;
    registration?: Registration;
    isLeaving?: boolean;
  };
}

/** Parts that a graceful shutdown stops. */
interface StartedParts {
  readonly front: Front;
  readonly peers: Peers;
  readonly callers: Server;
}

function createSharedParts(
  settings: EdgeSettings,
  platform: EdgePlatform,
): SharedParts {
  const store = new DisposableStore();
  store.add(() => platform.store.close());
  const processId = randomBytes(8).toString("hex");
  const { instance, logLevel, region, zones } = settings;
  const late: SharedParts["late"] = {};
  const catalog = createCatalog({ zones });
  const placer = createPlacer({
    homeRegion: region,
    // Until peers are known, this entry counts as the only one of its region.
    countEntries: () => late.peers?.membership.liveMembers(region).length ?? 1,
    findAssigned: (key) => assignments.find(key),
    random: Math.random,
  });
  const assignments = new Assignments({
    processId,
    findServers: (service) => catalog.findServers(service, performance.now()),
    keepsHome: (key) => {
      const { service, route } = parseObjectKey(key);
      const found = catalog.routes?.get(route);
      return found !== undefined &&
        placer.keepsHome(service, route, found.targetLatencyMs);
    },
    measureBusyShare: (servers) =>
      placer.measureBusyShare(servers, performance.now()),
  });
  return {
    settings,
    platform,
    processId,
    store,
    late,
    log: createEdgeLog({ level: logLevel, instance, region }),
    metrics: createEdgeMetrics({ address: settings.metrics, store }),
    catalog,
    assignments,
    placer,
  };
}

async function startParts(shared: SharedParts): Promise<StartedParts> {
  const { settings, platform, store, log, placer, metrics, late } = shared;
  const peers = await connectPeers(shared);
  const stalls = createStalls(shared);
  late.quarantine = createQuarantineParts({
    ...shared,
    instance: settings.instance,
    source: platform.store,
    getWatch: () => late.watch,
    findAddress: (processId) =>
      peers.membership.liveMembers(settings.region)
        .find((member) => member.processId === processId)?.peerAddress,
    findOther: () => peers.findOther(),
    call: (address, message, timeoutMs) =>
      peers.call(address, message, timeoutMs),
  });
  const { quarantine } = late.quarantine;
  const headerLimit = new HeaderLimit();
  const front = createCallerFront(shared, {
    headerLimit,
    peers,
    stalls,
    crashes: late.quarantine,
  });
  const callers = createCallerServer({
    front,
    headerLimit,
    protocol: platform.callers,
    metrics,
    log,
  });
  const watch = startWatch(shared, { peers, callers, headerLimit, stalls });
  late.registration = startRegistration({
    source: platform.store,
    instance: settings.instance,
    peerAddress: formatAddress(settings.peers),
    addSeeds: (addresses) => peers.addSeeds(addresses),
    isReading: () => watch.isReading,
    isAlone: () => peers.membership.liveMembers().length <= 1,
    store,
    log: log.part("member"),
  });
  const stateSaving = startLoadSharing(shared, peers);
  startReports({
    placer,
    store,
    log,
    peers,
    metrics,
    stalls,
    watch,
    quarantine,
  });
  await openListeners(shared, {
    callers,
    peers,
    isReady: () => !late.isLeaving && stateSaving.isRestored && watch.isLoaded,
  });
  return { front, peers, callers };
}

function startLoadSharing(shared: SharedParts, peers: Peers): StateSaving {
  const { settings, processId, platform, store, log, placer } = shared;
  const { assignments, late } = shared;
  const loads = startLoadExchange({
    processId,
    region: settings.region,
    listEntries: () => peers.membership.liveMembers(),
    call: (address, message, timeoutMs) =>
      peers.call(address, message, timeoutMs),
    placer,
    assignments,
    isRestored: () => late.stateSaving?.isRestored ?? false,
    random: Math.random,
    store,
    log: log.part("load"),
  });
  late.loads = loads;
  const startedAtMs = performance.now();
  const joinMs = getJoinMs(settings);
  late.stateSaving = startStateSaving({
    placer,
    assignments,
    source: platform.store,
    store,
    log: log.part("plan"),
    isAggregator: () =>
      loads.isAggregator && performance.now() - startedAtMs >= joinMs,
  });
  return late.stateSaving;
}

function getJoinMs({ capacity }: EdgeSettings): number {
  return capacity < SMALL_CAPACITY ? JOIN_WAIT_MS : 0;
}

async function connectPeers(shared: SharedParts): Promise<Peers> {
  const { settings, processId, store, log, catalog, late } = shared;
  const { instance, region, zone } = settings;
  late.peers = await startPeers({
    self: {
      instance,
      processId,
      incarnation: Date.now(),
      peerAddress: formatAddress(settings.peers),
      callerAddress: formatAddress(settings.callers),
      region,
      zone,
      capacity: settings.capacity,
    },
    listen: getListenAddress(settings, settings.peers),
    token: settings.peerToken,
    seeds: settings.seeds,
    random: Math.random,
    store,
    log: log.part("member"),
    catalog,
    getCatalogAgeMs: () => late.watch?.ageMs() ?? Infinity,
    getDocumentAgeMs: () => late.watch?.documentAgeMs() ?? 0,
    getReader: () => late.watch?.reader,
    onOtherVersion: (version, peerAddress) => {
      const own = catalog.document?.version ?? 0;
      if (version > own) late.watch?.pullNow(peerAddress);
    },
    answerCrashes: async (report) =>
      await late.quarantine?.reports.answer(report),
    answerLoads: (report, { peer }) =>
      Promise.resolve(late.loads?.answer(report, peer)),
  });
  return late.peers;
}

function createStalls(
  { store, log, metrics }: SharedParts,
): MeasuringStallDetector {
  const edgeLog = log.part("edge");
  return startStallDetector({
    store,
    onStall: (stall) => {
      metrics.stalledSeconds.inc(stall.stalledMs / 1_000);
      edgeLog.warn(stall, "The process stood still.");
    },
  });
}

function createCallerFront(
  shared: SharedParts,
  { headerLimit, peers, stalls, crashes }: {
    readonly headerLimit: HeaderLimit;
    readonly peers: Peers;
    readonly stalls: StallDetector;
    readonly crashes: QuarantineParts;
  },
): Front {
  const { settings, platform, store, log, placer, catalog, metrics } = shared;
  const protocol = platform.callers;
  const backend = createBackendClient({
    protocol: platform.servers,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    idleMs: SERVER_IDLE_TIMEOUT_MS,
    ...limitAnswers(settings),
    onAnswerRejected: (rejection) => {
      metrics.answersRejected.inc();
      log.decide("Answer rejected for memory.", { ...rejection });
    },
  });
  store.add(() => backend.close());
  const budgets = createRetryBudgets({
    bounds: settings.bounds,
    countEntries: () => peers.membership.countEntries(),
  });
  return createFront({
    catalog,
    forwarder: createForwarder({
      catalog,
      splitter: createSplitter(),
      placer,
      backend,
      budgets,
      stalls,
      protocol,
      crashes: crashes.watchCrashes(backend),
      quarantine: crashes.quarantine,
      metrics,
      log,
      isInContact: () => {
        const contactAgeMs = shared.late.watch?.contactAgeMs() ?? Infinity;
        return contactAgeMs <= settings.bounds.configurationApplyMs;
      },
    }),
    bodies: createBodyReader(settings),
    headerLimit,
    protocol,
    metrics,
    log,
  });
}

function createBodyReader({ memoryBytes }: EdgeSettings): BodyReader {
  if (memoryBytes === undefined) return new BodyReader();
  const maxLargeBytes = Math.floor(BODIES_SHARE * memoryBytes);
  return new BodyReader({ maxLargeBytes });
}

function limitAnswers(
  { memoryBytes }: EdgeSettings,
): { readonly maxAnswersBytes?: number } {
  if (memoryBytes === undefined) return {};
  return { maxAnswersBytes: Math.floor(ANSWERS_SHARE * memoryBytes) };
}

function startWatch(
  shared: SharedParts,
  { peers, callers, headerLimit, stalls }: {
    readonly peers: Peers;
    readonly callers: Server;
    readonly headerLimit: HeaderLimit;
    readonly stalls: StallDetector;
  },
): CatalogWatch {
  const { settings, platform, processId, store, log, catalog, metrics } =
    shared;
  const catalogLog = log.part("catalog");
  const configurations = createConfigurationLog(catalogLog);
  const watch = startCatalogWatch({
    processId,
    catalog,
    source: platform.store,
    store,
    metrics,
    log: catalogLog,
    listRegion: () =>
      sortEntries(peers.membership.liveMembers(settings.region))
        .map((member) => member.processId),
    joinMs: getJoinMs(settings),
    suspendedMs: () => stalls.suspendedMs(),
    // While there is contact with all regions, an old catalog means that the
    // store is down.
    isContact: (ageMs) =>
      ageMs <= settings.bounds.configurationApplyMs ||
      Object.values(settings.zones).every((region) =>
        peers.membership.regionState(region) !== "lost"
      ),
    pull: (source) => peers.pullCatalog(source),
    onEraChanged: () => ({
      registration: shared.late.registration?.renew() ?? false,
      savedState: shared.late.stateSaving?.renew() ?? false,
      crashNotes: shared.late.quarantine?.reports.renew() ?? 0,
    }),
    onChanged: (source, documentAgeMs) => {
      const { document } = catalog;
      if (document === undefined) return;
      metrics.configuration.set(document.version);
      if (configurations.record(document, source, documentAgeMs)) {
        metrics.configurationSpread.set(documentAgeMs / 1_000);
      }
      peers.setVersion(document.version);
      const { idleTimeoutMs, headerTimeoutMs, maxHeaderBytes } =
        document.limits;
      headerLimit.set(maxHeaderBytes);
      callers.keepAliveTimeout = idleTimeoutMs + IDLE_MARGIN_MS;
      callers.headersTimeout = headerTimeoutMs;
    },
  });
  shared.late.watch = watch;
  return watch;
}

async function openListeners(
  { settings, platform, store, log, metrics }: SharedParts,
  parts: {
    readonly callers: Server;
    readonly peers: Peers;
    readonly isReady: () => boolean;
  },
): Promise<void> {
  const protocol = platform.callers;
  await listen(
    getListenAddress(settings, settings.callers),
    parts.callers,
    store,
  );
  const lookups = createLookupListener({
    membership: parts.peers.membership,
    protocol,
    random: Math.random,
    maxTtlS: settings.bounds.lookupTtlMaxS,
    region: settings.region,
    log,
    metrics,
  });
  await listen(getListenAddress(settings, settings.lookups), lookups, store);
  const readiness = createReadyListener(protocol, parts.isReady);
  await listen(
    getListenAddress(settings, settings.readiness),
    readiness,
    store,
  );
  const callers = formatAddress(settings.callers);
  log.part("edge").info({ callers }, "Listening.");
}

async function stopEdge(
  { settings, store, log }: SharedParts,
  parts: StartedParts,
): Promise<void> {
  const edgeLog = log.part("edge");
  const { front } = parts;
  edgeLog.info({ inFlight: front.inFlight }, "Leaving.");
  const { graceMs } = settings.bounds;
  const lastAnswers = await stopGracefully({ graceMs, ...parts });
  const { inFlight, refusedCount: refused } = front;
  edgeLog.info({ refused, lastAnswers, inFlight }, "Stopping.");
  await store.dispose();
  log.flush();
}

function getListenAddress(
  { listenHost }: EdgeSettings,
  { host, port }: ListenAddress,
): ListenAddress {
  return { host: listenHost ?? host, port };
}

function formatAddress({ host, port }: ListenAddress): string {
  return `${host}:${port}`;
}
