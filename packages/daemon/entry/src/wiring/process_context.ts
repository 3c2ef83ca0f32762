/**
 * Clients, clock and state that the components of the entry daemon share.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { DisposableStore } from "@dotterelmoor/core.types";
import type { ListedInstance, Random } from "@dotterelmoor/core.types";
import type { EntrySettings } from "@dotterelmoor/config.settings";
import { createBackendClient } from "@dotterelmoor/network.backend";
import type { BackendClient } from "@dotterelmoor/network.backend";
import { createPeerPool } from "@dotterelmoor/network.peering";
import type { PeerIdentity, PeerPool } from "@dotterelmoor/network.peering";
import { createPlatformClient } from "@dotterelmoor/network.platform";
import type { PlatformClient } from "@dotterelmoor/network.platform";
import { createClock } from "../process/clock.ts";
import type { Clock } from "../process/clock.ts";
import { createLogging } from "../process/logging.ts";
import type { GetLogger } from "../process/logging.ts";
import { createMetrics } from "../process/metrics.ts";
import type { Metrics } from "../process/metrics.ts";
import { createMachineFactory } from "../process/recording.ts";
import type { CreateMachine } from "../process/recording.ts";
import type { RoutingView } from "../version/routing_view.ts";

const PLATFORM_TIMEOUT_MS = 2_000;

/** Mutable state of the process that several components read. */
export interface ProcessState {
  /** Incarnation of the session, 0 if there is none. */
  incarnation: number;
  leaving: boolean;
  view: RoutingView | undefined;
  instances: readonly ListedInstance[];
}

/** Clients, clock and state of one process. */
export interface ProcessContext {
  readonly settings: EntrySettings;
  readonly store: DisposableStore;
  readonly processId: string;
  readonly state: ProcessState;
  readonly identity: () => PeerIdentity;
  readonly getLogger: GetLogger;
  readonly platform: PlatformClient;
  readonly backend: BackendClient;
  readonly peers: PeerPool;
  readonly metrics: Metrics;
  readonly clock: Clock;
  readonly random: Random;
  /** Creates state machines, recorded if `recordFile` is set. */
  readonly createMachine: CreateMachine;
}

/** Creates the context without sending anything. */
export function createProcessContext(settings: EntrySettings): ProcessContext {
  const processId = randomUUID();
  const state: ProcessState = {
    incarnation: 0,
    leaving: false,
    view: undefined,
    instances: [],
  };
  const { instance, region, zone } = settings;
  const identity = () => ({
    incarnation: state.incarnation,
    processId,
    instance,
    region,
    zone,
  });
  const getLogger = createLogging({ level: settings.logLevel, instance });
  const store = new DisposableStore();
  const clock = createClock();
  const context: ProcessContext = {
    settings,
    store,
    processId,
    state,
    identity,
    getLogger,
    platform: createPlatformClient({
      url: settings.platformUrl,
      timeoutMs: PLATFORM_TIMEOUT_MS,
    }),
    backend: createBackendClient(),
    peers: createPeerPool({
      identity,
      token: settings.peerToken,
      log: getLogger("peer"),
    }),
    metrics: createMetrics({ receiver: settings.metrics, instance, region }),
    clock,
    random: Math.random,
    createMachine: createMachineFactory({
      file: settings.recordFile,
      clock,
      store,
      log: getLogger("entry"),
    }),
  };
  for (
    const client of [
      context.metrics,
      context.platform,
      context.backend,
      context.peers,
    ]
  ) {
    context.store.add(() => client.close());
  }
  return context;
}
