/**
 * Checks of a team's document against the documents of other teams.
 *
 * @module
 */
import type { TeamDocument } from "@dotterelmoor/core.types";
import type { DocumentError } from "./document_error.ts";
import { describeValue, getValueAt, listRecords } from "./finding.ts";
import type { Finding } from "./finding.ts";
import type { CheckDocumentOptions } from "./platform_checks.ts";
import { locateFindings } from "./source.ts";

/** Tolerance for rounding errors in sums of shares, such as 0.1 + 0.2. */
const ROUNDING_TOLERANCE = 1e-9;

/**
 * Checks a team's document for services that another team owns and for
 * oversubscribed links. Ignores documents of the same team in `otherTeams`.
 */
export function checkAgainstTeams(
  document: TeamDocument,
  otherTeams: readonly TeamDocument[],
  options: CheckDocumentOptions = {},
): DocumentError[] {
  const others = otherTeams.filter((other) => other.team !== document.team);
  return locateFindings([
    ...findServicesOwnedElsewhere(document, others),
    ...findOversubscribedLinks(document, others),
  ], { file: document.team, ...options });
}

function findServicesOwnedElsewhere(
  document: TeamDocument,
  others: readonly TeamDocument[],
): Finding[] {
  const owners = new Map(
    others.flatMap((other) =>
      other.services.map((service) => [service.name, other.team] as const)
    ),
  );
  return document.services.flatMap((service, index): Finding[] => {
    const owner = owners.get(service.name);
    if (owner === undefined) return [];
    return [{
      code: "service-owned-elsewhere",
      path: ["services", index, "name"],
      found: describeValue(service.name),
      expected: "a service that no other team owns",
      hint: `Team ${owner} owns ${service.name}; choose another name`,
    }];
  });
}

interface LinkUse {
  readonly regions: ReadonlySet<string>;
  readonly share: number;
}

/**
 * Finds links whose shares add up to more than 1. A service counts towards
 * every link that starts or ends in one of its regions, because requests enter
 * and responses leave the region over these links. Every pair of regions that
 * services use is treated as a link.
 */
export function findOversubscribedLinks(
  root: unknown,
  others: readonly TeamDocument[],
): Finding[] {
  const services = listRecords(getValueAt(root, ["services"]));
  const own = services.map(({ record }) => readLinkUse(record));
  const uses = [
    ...own,
    ...others.flatMap((other) => other.services.map(readLinkUse)),
  ];
  return services.flatMap(({ index }, position): Finding[] => {
    const use = own[position]!;
    const worst = findMostUsedLink(use, uses);
    if (use.share <= 0 || worst.sum <= 1 + ROUNDING_TOLERANCE) return [];
    return [{
      code: "link-oversubscribed",
      path: ["services", index, "linkShare"],
      found: describeValue(use.share),
      expected: `shares that add up to at most 1 on the link between ` +
        `${worst.link}, where they add up to ${Number(worst.sum.toFixed(6))}`,
      hint: "Lower linkShare here or ask the other teams to lower theirs",
    }];
  });
}

function readLinkUse(service: unknown): LinkUse {
  const regions = getValueAt(service, ["regions"]);
  const share = getValueAt(service, ["linkShare"]);
  return {
    regions: new Set(Array.isArray(regions) ? regions.map(String) : []),
    share: typeof share === "number" && share > 0 ? share : 0,
  };
}

function findMostUsedLink(
  use: LinkUse,
  uses: readonly LinkUse[],
): { readonly link: string; readonly sum: number } {
  const regions = new Set(uses.flatMap((other) => [...other.regions]));
  let mostUsed = { link: "", sum: 0 };
  for (const from of use.regions) {
    for (const to of regions) {
      if (to === from && regions.size > 1) continue;
      const sum = uses
        .filter((other) => other.regions.has(from) || other.regions.has(to))
        .reduce((total, other) => total + other.share, 0);
      if (sum > mostUsed.sum) mostUsed = { link: `${from} and ${to}`, sum };
    }
  }
  return mostUsed;
}
