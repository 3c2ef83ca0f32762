/**
 * Splits the requests of a route among services by weight.
 *
 * @module
 */

import type { RouteRecord, SplitTarget } from "./types.ts";

/** Chooses the service of each request. */
export interface Splitter {
  choose(route: RouteRecord): string;
}

/**
 * Creates a splitter. Smooth weighted round robin keeps the shares exact within
 * short windows, where random choices would deviate.
 */
export function createSplitter(): Splitter {
  const credits = new Map<string, Map<string, number>>();
  return {
    choose: (route) => {
      const [only] = route.targets;
      if (route.targets.length === 1) return only!.service;
      let routeCredits = credits.get(route.name);
      if (routeCredits === undefined) {
        routeCredits = new Map();
        credits.set(route.name, routeCredits);
      }
      return chooseNext(route.targets, routeCredits);
    },
  };
}

function chooseNext(
  targets: readonly SplitTarget[],
  credits: Map<string, number>,
): string {
  let total = 0;
  let best = targets[0]!;
  let bestCredit = -Infinity;
  for (const target of targets) {
    total += target.weight;
    const credit = (credits.get(target.service) ?? 0) + target.weight;
    credits.set(target.service, credit);
    if (credit > bestCredit && target.weight > 0) {
      best = target;
      bestCredit = credit;
    }
  }
  credits.set(best.service, bestCredit - total);
  return best.service;
}
