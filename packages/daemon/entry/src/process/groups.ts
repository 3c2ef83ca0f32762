/**
 * Registry of the target groups that this process owns. Polls the health of
 * their servers and publishes their state.
 *
 * @module
 */

import { buildGroupKey, findService } from "@dotterelmoor/core.steering";
import type { GroupState } from "@dotterelmoor/core.steering";
import type {
  ConfigurationSnapshot,
  DisposableStore,
  ListedInstance,
  ServiceDocument,
} from "@dotterelmoor/core.types";
import type { BackendClient } from "@dotterelmoor/network.backend";
import type { Logger } from "pino";
import type { Clock } from "./clock.ts";
import { createDrainWatch } from "./drain_watch.ts";
import type { DrainWatch } from "./drain_watch.ts";
import type { GroupOwner } from "./group_owner_types.ts";
import { startInterval } from "./intervals.ts";
import type { Metrics } from "./metrics.ts";

// Dispatching is driven by events; this interval bounds the delay until queued
// requests notice that authority has lapsed.
const TICK_MS = 100;
const HEALTH_INTERVAL_MS = 500;
const HEALTH_TIMEOUT_MS = 450;
const PUBLISH_INTERVAL_MS = 500;

/** Options of `createGroups`. */
export interface GroupsOptions {
  readonly region: string;
  readonly clock: Clock;
  readonly backend: BackendClient;
  readonly store: DisposableStore;
  readonly metrics: Metrics;
  readonly log: Logger;
  readonly createOwner: (options: CreateOwnerOptions) => GroupOwner;
  readonly publish: (publication: GroupPublication) => void;
}

/** Options that differ between owned groups. */
export interface CreateOwnerOptions {
  readonly service: string;
  readonly region: string;
  readonly fence: number;
  readonly document: ServiceDocument;
  readonly onIdle: () => void;
}

/** State of a group as published to other entries. */
export interface GroupPublication {
  readonly key: string;
  readonly state: Pick<GroupState, "fence" | "open" | "queueMs" | "sequence">;
  readonly urgent: boolean;
}

/** Groups owned by this process. */
export interface Groups {
  /** Starts to run the requests of a group that this process now owns. */
  open(resource: string, fence: number): void;
  /** Stops dispatching and removes the group. */
  close(resource: string): void;
  /** Stops dispatching; calls `onDrained` when nothing is in flight. */
  handOver(resource: string, onDrained: () => void): void;
  find(service: string): GroupOwner | undefined;
  list(): GroupOwner[];
  setSnapshot(snapshot: ConfigurationSnapshot): void;
  setInstances(instances: readonly ListedInstance[]): void;
}

/** Lists the table keys of the groups in a region. */
export function listGroupResources(
  snapshot: ConfigurationSnapshot,
  region: string,
): string[] {
  return Object.values(snapshot.teams)
    .flatMap((team) => team.services)
    .filter((service) => service.regions.includes(region))
    .map((service) => buildGroupKey(service.name, region));
}

/** Creates the registry of owned groups. */
export function createGroups(options: GroupsOptions): Groups {
  const { clock, region } = options;
  const owners = new Map<string, GroupOwner>();
  const onDrainedCallbacks = new Map<string, () => void>();
  const drainWatches = new Map<string, DrainWatch>();
  let snapshot: ConfigurationSnapshot | undefined;
  let instances: readonly ListedInstance[] = [];
  let sequence = 0;

  function updateServers(owner: GroupOwner): void {
    const servers = instances.filter((instance) =>
      instance.service === owner.service && instance.region === region
    );
    owner.setServers(servers);
    owner.setOperatorDrains(snapshot?.drains ?? []);
  }

  function publish(key: string, owner: GroupOwner, urgent: boolean): void {
    sequence += 1;
    const waitMs = owner.dispatcher.getExpectedWaitMs("critical");
    options.publish({
      key,
      urgent,
      state: {
        fence: owner.fence,
        open: owners.get(key) === owner && !owner.dispatcher.closed &&
          Number.isFinite(waitMs),
        queueMs: Number.isFinite(waitMs) ? waitMs : 0,
        sequence,
      },
    });
  }

  async function pollServer(
    owner: GroupOwner,
    server: { readonly id: string; readonly address: string },
  ): Promise<void> {
    const health = await options.backend.fetchHealth(
      server.address,
      HEALTH_TIMEOUT_MS,
    );
    if (health.type === "health") {
      owner.reportServer(server.id, "health", health.state);
    } else if (health.type === "connection_refused") {
      owner.reportServer(server.id, "health", "unreachable");
    }
  }

  function recordHeadroom(owner: GroupOwner): void {
    const servers = owner.dispatcher.listServers(clock.nowMs());
    const slots = servers.reduce((sum, server) => sum + server.allowance, 0);
    const share = slots === 0 ? 0 : 1 - owner.dispatcher.inFlight / slots;
    options.metrics.recordHeadroom(owner.service, region, Math.max(share, 0));
  }

  function recordDrains(key: string, owner: GroupOwner): void {
    const nowMs = clock.nowMs();
    const watch = drainWatches.get(key);
    const servers = owner.dispatcher.listServers(nowMs);
    for (const { id, drainMs } of watch?.update(servers, nowMs) ?? []) {
      options.metrics.recordDrain(owner.service, drainMs);
      options.log.info({ server: id, drainMs }, "Server drained.");
    }
  }

  startInterval(options.store, TICK_MS, () => {
    for (const owner of owners.values()) owner.tick();
  });
  startInterval(options.store, HEALTH_INTERVAL_MS, () => {
    for (const owner of owners.values()) {
      for (const server of owner.dispatcher.listServers(clock.nowMs())) {
        void pollServer(owner, server);
      }
    }
  });
  startInterval(options.store, PUBLISH_INTERVAL_MS, () => {
    for (const [key, owner] of owners) {
      publish(key, owner, false);
      recordHeadroom(owner);
      recordDrains(key, owner);
    }
  });

  return {
    open: (resource, fence) => {
      const service = resource.split("/")[1]!;
      const document = snapshot && findService(snapshot, service);
      if (document === undefined) return;
      const owner = options.createOwner({
        service,
        region,
        fence,
        document,
        onIdle: () => {
          onDrainedCallbacks.get(resource)?.();
          onDrainedCallbacks.delete(resource);
        },
      });
      owners.set(resource, owner);
      drainWatches.set(resource, createDrainWatch());
      updateServers(owner);
      options.log.info({ service, fence }, "Group opened.");
      publish(resource, owner, true);
    },
    close: (resource) => {
      const owner = owners.get(resource);
      if (owner === undefined) return;
      owners.delete(resource);
      drainWatches.delete(resource);
      if (!owner.dispatcher.closed) owner.close();
      publish(resource, owner, true);
    },
    handOver: (resource, onDrained) => {
      const owner = owners.get(resource);
      if (owner === undefined) return onDrained();
      onDrainedCallbacks.set(resource, onDrained);
      owner.close();
      publish(resource, owner, true);
    },
    find: (service) => owners.get(buildGroupKey(service, region)),
    list: () => [...owners.values()],
    setSnapshot: (next) => {
      snapshot = next;
      for (const owner of owners.values()) {
        const document = findService(next, owner.service);
        if (document !== undefined) owner.setDocument(document);
        owner.setOperatorDrains(next.drains);
      }
    },
    setInstances: (next) => {
      instances = next;
      for (const owner of owners.values()) updateServers(owner);
    },
  };
}
