/**
 * Routing by one configuration version and the gossiped state of groups.
 *
 * @module
 */

import type { Membership, StateView } from "@dotterelmoor/core.membership";
import {
  chooseTargets,
  createClientBlockTable,
  resolveHomeRegion,
} from "@dotterelmoor/core.steering";
import type {
  GroupState,
  GroupView,
  GroupViews,
  Target,
} from "@dotterelmoor/core.steering";
import type { ConfigurationSnapshot } from "@dotterelmoor/core.types";

/** Routing queries on one configuration version. */
export interface RoutingView {
  readonly snapshot: ConfigurationSnapshot;
  /** Resolves the home region of a caller by its network address. */
  resolveHome(client: string): string;
  /** Chooses the target regions of a service, best first. */
  chooseTargets(service: string, homeRegion: string, nowMs: number): Target[];
  /** Lists the current group states of a service. */
  listGroups(service: string): GroupViews;
}

/** Options of `createRoutingView`. */
export interface RoutingViewOptions {
  readonly snapshot: ConfigurationSnapshot;
  readonly region: string;
  readonly membership: Membership;
}

/** Creates the view of a version, building its client-block table once. */
export function createRoutingView(options: RoutingViewOptions): RoutingView {
  const { membership, snapshot } = options;
  const blocks = createClientBlockTable(snapshot.platform.clientBlocks);
  const previous = new Map<string, Target[]>();

  function listGroups(service: string): GroupViews {
    const views = new Map<string, GroupView>();
    for (const state of membership.states(`groups/${service}/`)) {
      views.set(state.key, toGroupView(state));
    }
    return views;
  }

  return {
    snapshot,
    listGroups,
    resolveHome: (client) =>
      resolveHomeRegion({ client, blocks, ownRegion: options.region }),
    chooseTargets: (service, homeRegion, nowMs) => {
      const key = `${service}/${homeRegion}`;
      const targets = chooseTargets({
        service,
        homeRegion,
        snapshot,
        groups: listGroups(service),
        nowMs,
        previous: previous.get(key),
      });
      previous.set(key, targets);
      return targets;
    },
  };
}

function toGroupView(view: StateView): GroupView {
  return {
    state: view.value as unknown as GroupState,
    ageMs: view.ageMs,
    fresh: view.fresh,
  };
}
