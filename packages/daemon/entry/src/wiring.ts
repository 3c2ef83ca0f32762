/**
 * Creates, connects and starts the components of the entry daemon.
 *
 * @module
 */

import type { RequestListener } from "node:http";
import type { EntrySettings } from "@dotterelmoor/config.settings";
import { loadHealthChecks } from "@dotterelmoor/network.backend";
import { createPeerServer } from "@dotterelmoor/network.peering";
import type {
  PeerHandlers,
  PeerMessageType,
} from "@dotterelmoor/network.peering";
import { ENTRY_SERVICE, startInstanceWatch } from "./process/instance_watch.ts";
import { startInterval } from "./process/intervals.ts";
import { stopGracefully } from "./process/leaving.ts";
import type { GracefulStopOptions } from "./process/leaving.ts";
import { openListener } from "./process/listeners.ts";
import { openOperators } from "./process/operators.ts";
import { createReports } from "./process/reports.ts";
import { createProcessContext } from "./wiring/process_context.ts";
import type { ProcessContext } from "./wiring/process_context.ts";
import { sendMembers } from "./wiring/members.ts";
import { createComponents } from "./wiring/parts.ts";
import type { Components } from "./wiring/parts.ts";
import { createRequests } from "./wiring/requests.ts";

const MEMBERS_INTERVAL_MS = 500;
const MAX_CALLER_CONNECTIONS = 4_096;

/** An entry that is starting or running. */
export interface Entry {
  /** Resolves once the listeners are open; rejects if one cannot be opened. */
  readonly started: Promise<RunningEntry>;
  /** Leaves the system gracefully, once a start that is under way has ended, and
   * releases all resources. */
  leave(): Promise<void>;
  /** Logs that the settings changed; they take effect at the next start. */
  noteReload(): void;
}

/** A running entry. */
export interface RunningEntry {
  /** Address of the listener for callers, as `host:port`. */
  readonly callers: string;
  /** Address of the listener for peers, as `host:port`. */
  readonly peers: string;
  /** Address of the listener for operators, as `host:port`. */
  readonly operators: string;
  /** Resolves once this entry has a configuration and may serve. */
  readonly ready: Promise<void>;
  /** Leaves the system gracefully and releases all resources. */
  leave(): Promise<void>;
}

/** Creates an entry, which starts after this turn of the event loop, so that
 * signals can be handled before it opens a listener. */
export function createEntry(settings: EntrySettings): Entry {
  const context = createProcessContext(settings);
  const started = startParts(context);
  return {
    started,
    leave: async () => await (await started).leave(),
    noteReload: () =>
      context.getLogger("entry").info(
        "Settings changed; restart to apply them.",
      ),
  };
}

/** Starts an entry; rejects if a listener cannot be opened. */
export async function startEntry(
  settings: EntrySettings,
): Promise<RunningEntry> {
  return await createEntry(settings).started;
}

async function startParts(context: ProcessContext): Promise<RunningEntry> {
  const { settings } = context;
  await new Promise((resolve) => setImmediate(resolve));
  await loadHealthChecks();
  const callerHandler = createRef<RequestListener>();
  const callers = await openListener({
    host: settings.callers.host,
    port: settings.callers.port,
    maxConnections: MAX_CALLER_CONNECTIONS,
    handler: (request, response) => callerHandler.get()?.(request, response),
    log: context.getLogger("entry"),
  });
  const peerHandlers = createRef<PeerHandlers>();
  const peers = await createPeerServer({
    host: settings.peers.host,
    port: settings.peers.port,
    identity: context.identity,
    token: settings.peerToken,
    handlers: createDelegatingHandlers(peerHandlers),
    log: context.getLogger("peer"),
  });
  context.store.add(() => peers.close());
  const components = createComponents(context, {
    callers: settings.callers.advertise ?? callers.address,
    peers: settings.peers.advertise ?? peers.address,
  });
  const requests = createRequests(context, components);
  peerHandlers.set(requests.peerHandlers);
  callerHandler.set(requests.callerApp.callback());
  const operators = await openOperatorListener(context, components);
  startComponents(context, components);
  return {
    callers: callers.address,
    peers: peers.address,
    operators: operators.address,
    ready: components.ready.promise,
    leave: () =>
      stopEntry(context, components, {
        countRequests: requests.count,
        closeListeners: async () => {
          await Promise.all([callers.close(), operators.close()]);
        },
      }),
  };
}

/** Leaves the system gracefully and releases all resources. */
async function stopEntry(
  context: ProcessContext,
  components: Components,
  options: Pick<GracefulStopOptions, "closeListeners" | "countRequests">,
): Promise<void> {
  context.state.leaving = true;
  await stopGracefully({
    ...options,
    lookupTtlMs: context.settings.lookupTtlMs,
    nowMs: context.clock.nowMs,
    log: context.getLogger("entry"),
    notifyPeers: () => components.membership.send({ type: "leave" }),
    handOver: () => {
      components.ownership.send({ type: "leave" });
      return components.left.promise;
    },
  });
  await context.store.dispose();
}

function openOperatorListener(context: ProcessContext, components: Components) {
  const { settings, state } = context;
  return openOperators({
    host: settings.operators.host,
    port: settings.operators.port,
    platform: context.platform,
    tokens: settings.operatorTokens,
    log: context.getLogger("operator"),
    reports: createReports({
      ...components,
      instance: settings.instance,
      region: settings.region,
      zone: settings.zone,
      nowMs: context.clock.nowMs,
      listInstances: () => state.instances,
    }),
  });
}

/** Starts the components; the entry joins the system once it is ready. */
function startComponents(
  context: ProcessContext,
  components: Components,
): void {
  const { membership, ownership } = components;
  startInstanceWatch({
    platform: context.platform,
    store: context.store,
    onInstances: (instances) => {
      context.state.instances = instances;
      components.groups.setInstances(instances);
      const entries = instances.filter(({ service }) =>
        service === ENTRY_SERVICE
      );
      ownership.send({ type: "instances", ids: entries.map(({ id }) => id) });
    },
  });
  startInterval(
    context.store,
    MEMBERS_INTERVAL_MS,
    () => sendMembers(context, components),
  );
  // Peers' lookups return every member. Without a configuration this entry
  // refuses callers, so it must not join before it has one.
  void components.ready.promise.then(() => {
    membership.start();
    ownership.start();
  });
  void components.spread.readTable();
}

/** A value that is set after its readers are created. */
interface Ref<T> {
  get(): T | undefined;
  set(value: T): void;
}

function createRef<T>(): Ref<T> {
  let current: T | undefined;
  return {
    get: () => current,
    set: (value) => {
      current = value;
    },
  };
}

/** Creates handlers that delegate to the real ones once those are set. */
function createDelegatingHandlers(target: Ref<PeerHandlers>): PeerHandlers {
  const types: readonly PeerMessageType[] = [
    "config_pull",
    "config_push",
    "exec",
    "handover",
    "membership",
    "permit",
    "promise",
    "submit",
  ];
  return Object.fromEntries(types.map((type) => [
    type,
    (message: never, context: never) =>
      (target.get()?.[type] as PeerHandlers["exec"])?.(message, context) ??
        Promise.resolve(undefined),
  ]));
}
