/**
 * Reports for operators on this entry and its view of the system.
 *
 * @module
 */

import type {
  ConfigurationSnapshot,
  JsonValue,
  ListedInstance,
} from "@dotterelmoor/core.types";
import type {
  DaemonReports,
  LeaseReport,
  QuarantineReport,
} from "@dotterelmoor/daemon.operating";
import type { ConfigurationComponent } from "./configuration_component.ts";
import type { GroupOwner } from "./group_owner_types.ts";
import type { Groups } from "./groups.ts";
import type { MembershipComponent } from "./membership_component.ts";
import type { OwnershipComponent } from "./ownership_component.ts";
import type { QuarantineComponent } from "./quarantine_component.ts";
import type { QuarantineSpread } from "./quarantine_spread.ts";

/** Options of `createReports`. */
export interface ReportsOptions {
  readonly instance: string;
  readonly region: string;
  readonly zone: string;
  readonly nowMs: () => number;
  readonly configuration: ConfigurationComponent;
  readonly groups: Groups;
  readonly membership: MembershipComponent;
  readonly ownership: OwnershipComponent;
  readonly quarantine: QuarantineComponent;
  readonly listInstances: () => readonly ListedInstance[];
  readonly spread: QuarantineSpread;
}

/** Snapshot to report before the first configuration is applied. */
const NO_SNAPSHOT: ConfigurationSnapshot = {
  sequence: 0,
  platform: {
    regions: [],
    links: [],
    clientBlocks: [],
    limits: { maxDeadlineMs: 0, maxConcurrency: 0, maxShiftCap: 0 },
  },
  teams: {},
  drains: [],
};

/** Creates the reports of this entry. */
export function createReports(options: ReportsOptions): DaemonReports {
  return {
    reportStatus: () => reportStatus(options),
    reportQuarantine: () => listQuarantine(options),
    reportLeases: () => listLeases(options),
    findInstanceService: (instance) =>
      options.listInstances().find(({ id }) => id === instance)?.service,
    getSnapshot: () => options.configuration.replica.current() ?? NO_SNAPSHOT,
    notifyChange: () => options.configuration.readStore(),
    notifyLift: (fingerprint) =>
      options.quarantine.send({ type: "lift", fingerprint }),
  };
}

function reportStatus(options: ReportsOptions): JsonValue {
  const { configuration, membership, ownership } = options;
  const status = {
    instance: options.instance,
    region: options.region,
    zone: options.zone,
    configuration: describeConfiguration(configuration, options.nowMs()),
    session: {
      phase: ownership.ownership.status().phase,
      incarnation: ownership.ownership.incarnation(),
    },
    owned: options.groups.list().map((owner) => describeOwner(options, owner)),
    groups: membership.membership.states("groups/").map((view) => ({
      key: view.key,
      fresh: view.fresh,
      ageMs: Math.round(view.ageMs),
      value: view.value,
    })),
    members: membership.membership.members().map((member) => ({
      instance: member.instance,
      region: member.region,
      zone: member.zone,
      state: member.state,
    })),
  };
  return status as unknown as JsonValue;
}

function describeConfiguration(
  component: ConfigurationComponent,
  nowMs: number,
): JsonValue {
  const status = component.replica.status();
  const silentSinceMs = status.storeSilentSinceMs;
  return {
    sequence: status.sequence,
    source: status.source,
    ready: status.ready,
    storeSilentMs: silentSinceMs === undefined
      ? null
      : Math.round(nowMs - silentSinceMs),
  };
}

function describeOwner(
  options: ReportsOptions,
  owner: GroupOwner,
): Readonly<Record<string, unknown>> {
  const nowMs = options.nowMs();
  return {
    service: owner.service,
    region: owner.region,
    fence: owner.fence,
    inFlight: owner.dispatcher.inFlight,
    queued: owner.dispatcher.queueLength,
    closed: owner.dispatcher.closed,
    shift: { share: owner.gate.share, used: owner.gate.getUsed(nowMs) },
    servers: owner.dispatcher.listServers(nowMs),
  };
}

function listQuarantine(options: ReportsOptions): QuarantineReport[] {
  return options.quarantine.quarantine.list(options.nowMs()).map((entry) => ({
    ...entry,
    service: options.spread.findService(entry.fingerprint) ?? "",
  }));
}

function listLeases(options: ReportsOptions): LeaseReport[] {
  return options.ownership.ownership.status().resources
    .filter(({ resource }) => resource.startsWith("groups/"))
    .map(({ resource, owner, deputy, fence, held, address }) => {
      const [, service, region] = resource.split("/") as [
        string,
        string,
        string,
      ];
      return {
        service,
        region,
        owner,
        deputy,
        fence,
        held,
        address: address ?? null,
      };
    });
}
