/**
 * Order of the regions that a request may use.
 *
 * @module
 */

import type {
  ConfigurationSnapshot,
  ServiceDocument,
} from "@dotterelmoor/core.types";
import { buildGroupKey } from "./inputs.ts";
import type { GroupView, GroupViews } from "./inputs.ts";

/** Reason for a region's rank in the order. */
export type TargetReason =
  | "preferred"
  | "spare"
  | "overloaded"
  | "closed"
  | "unknown";

/** A region that a request may use. */
export interface Target {
  readonly region: string;
  readonly reason: TargetReason;
  /** Peer address of the group owner; undefined unless its state is fresh. */
  readonly address: string | undefined;
  /** Queue time in milliseconds; undefined unless the state is fresh. */
  readonly queueMs: number | undefined;
}

/** Options of `chooseTargets`. */
export interface ChooseTargetsOptions {
  readonly service: string;
  /** Region nearest to the caller; comes first if the document lists it. */
  readonly homeRegion: string;
  readonly snapshot: ConfigurationSnapshot;
  readonly groups: GroupViews;
  readonly nowMs: number;
  /** Previous order for the same service and home region. */
  readonly previous?: readonly Target[];
}

/** Queue time, as a share of the shortest deadline, from which a region is
 * overloaded. */
const OVERLOAD_SHARE = 0.5;
/** Share below which an overloaded region has recovered. */
const RECOVERED_SHARE = 0.25;
/** Share of another overloaded region's queue time below which a region moves
 * ahead of it. */
const SHORTER_QUEUE_SHARE = 0.7;

const RANK_BY_REASON: Readonly<Record<TargetReason, number>> = {
  preferred: 0,
  spare: 0,
  overloaded: 1,
  unknown: 2,
  closed: 3,
};

/** Orders the regions that the service's document lists, the best one first.
 * Empty if the service is unknown. */
export function chooseTargets(options: ChooseTargetsOptions): Target[] {
  const document = findService(options.snapshot, options.service);
  if (!document) return [];
  const targets = buildRegionOrder(document, options.homeRegion)
    .map((region, index) => describeTarget(options, document, region, index));
  const overloaded = sortOverloaded(targets, options.previous ?? []);
  return targets
    .filter((target) => target.reason !== "overloaded")
    .concat(overloaded)
    .sort((a, b) => RANK_BY_REASON[a.reason] - RANK_BY_REASON[b.reason]);
}

/** Finds a service in the teams' documents. */
export function findService(
  snapshot: ConfigurationSnapshot,
  name: string,
): ServiceDocument | undefined {
  for (const team of Object.values(snapshot.teams)) {
    for (const service of team.services) {
      if (service.name === name) return service;
    }
  }
  return undefined;
}

/** Returns the document's order, with the home region first if it is listed. */
function buildRegionOrder(document: ServiceDocument, home: string): string[] {
  const regions = [...new Set(document.regions)];
  if (!regions.includes(home)) return regions;
  return [home, ...regions.filter((region) => region !== home)];
}

function describeTarget(
  options: ChooseTargetsOptions,
  document: ServiceDocument,
  region: string,
  index: number,
): Target {
  const view = options.groups.get(buildGroupKey(options.service, region));
  const fresh = view?.fresh ?? false;
  return {
    region,
    reason: findDemotionReason(options, document, region, view) ??
      (index === 0 ? "preferred" : "spare"),
    address: fresh ? view!.state.address : undefined,
    queueMs: fresh ? view!.state.queueMs : undefined,
  };
}

/** Returns the reason to move a region back in the order; undefined if there is
 * none. */
function findDemotionReason(
  options: ChooseTargetsOptions,
  document: ServiceDocument,
  region: string,
  view: GroupView | undefined,
): TargetReason | undefined {
  if (document.concurrency[region] === 0) return "closed";
  if (!view?.fresh) return "unknown";
  if (!view.state.open) return "closed";
  const before = options.previous?.find((target) => target.region === region);
  const share = before?.reason === "overloaded"
    ? RECOVERED_SHARE
    : OVERLOAD_SHARE;
  const limitMs = share * findShortestDeadline(document);
  return view.state.queueMs >= limitMs ? "overloaded" : undefined;
}

function findShortestDeadline(document: ServiceDocument): number {
  let shortest = Infinity;
  for (const kind of document.kinds) {
    shortest = Math.min(shortest, kind.deadlineMs);
  }
  return shortest;
}

/**
 * Sorts overloaded regions by queue time. The previous order is kept unless a
 * queue is clearly shorter, so that busy regions do not alternate.
 */
function sortOverloaded(
  targets: readonly Target[],
  previous: readonly Target[],
): Target[] {
  const position = (target: Target) => {
    const index = previous.findIndex((item) => item.region === target.region);
    return index < 0 ? previous.length : index;
  };
  const sorted: Target[] = [];
  const overloaded = targets.filter((target) => target.reason === "overloaded");
  for (const target of overloaded.sort((a, b) => position(a) - position(b))) {
    let index = sorted.length;
    while (index > 0 && isClearlyShorter(target, sorted[index - 1]!)) {
      index -= 1;
    }
    sorted.splice(index, 0, target);
  }
  return sorted;
}

function isClearlyShorter(a: Target, b: Target): boolean {
  return (a.queueMs ?? Infinity) <
    SHORTER_QUEUE_SHARE * (b.queueMs ?? Infinity);
}
