/**
 * Answers to callers that look up entries.
 *
 * @module
 */

import type { ConfigurationSnapshot } from "@dotterelmoor/core.types";
import type { ClientBlockTable } from "./client_blocks.ts";
import { buildGroupKey } from "./inputs.ts";
import type { GroupViews, SteeringMember } from "./inputs.ts";
import {
  computeHash,
  getHashedEntries,
  mix,
  pickByHash,
} from "./hashed_entries.ts";
import type { HashedEntry } from "./hashed_entries.ts";
import { chooseTargets } from "./targets.ts";

/** An entry in a lookup answer. */
export interface LookupEntry {
  /** Address of the entry for callers. */
  readonly address: string;
  readonly zone: string;
  readonly region: string;
  readonly role: "preferred" | "spare";
}

/** Reason for the choice of entries. */
export type LookupReason =
  | "home"
  | "home-unavailable"
  | "no-entries"
  | "unknown-service";

/** Answer to a caller that looks up which entries to use. */
export interface LookupAnswer {
  readonly service: string;
  readonly entries: readonly LookupEntry[];
  readonly ttlMs: number;
  /** Configuration sequence that the answer is based on. */
  readonly sequence: number;
  readonly reason: LookupReason;
}

/** Options of `resolveHomeRegion`. */
export interface ResolveHomeRegionOptions {
  /** IPv4 address of the caller. */
  readonly client: string;
  readonly blocks: ClientBlockTable;
  /** Region of this entry; used for callers that no block covers. */
  readonly ownRegion: string;
}

/** Options of `buildLookupAnswer`. */
export interface BuildLookupAnswerOptions {
  readonly service: string;
  readonly client: string;
  readonly homeRegion: string;
  readonly snapshot: ConfigurationSnapshot;
  readonly members: readonly SteeringMember[];
  readonly groups: GroupViews;
  readonly nowMs: number;
}

/** Returns the region nearest to the caller. */
export function resolveHomeRegion(options: ResolveHomeRegionOptions): string {
  return options.blocks.find(options.client) ?? options.ownRegion;
}

/**
 * Share of the callers that get the group owner first, which saves them one
 * hop. The others get another entry first, so that the owner does not hold the
 * connections of all callers.
 */
const OWNER_SHARE = 0.5;
const TTL_MS = 5_000;

/** Builds the answer to a lookup: entries of the first reachable region, and a
 * spare of the second one. */
export function buildLookupAnswer(
  options: BuildLookupAnswerOptions,
): LookupAnswer {
  const { service, snapshot } = options;
  const answer = { service, ttlMs: TTL_MS, sequence: snapshot.sequence };
  const regions = chooseRegions(options);
  if (regions.length === 0) {
    return { ...answer, entries: [], reason: "unknown-service" };
  }
  const hashedEntries = getHashedEntries(options.members);
  const reachable = regions.filter((region) => hashedEntries.has(region));
  const [first, second] = reachable;
  if (first === undefined) {
    return { ...answer, entries: [], reason: "no-entries" };
  }
  const key = computeHash(`${options.client} ${service}`);
  const entries = pickInRegion(options, hashedEntries.get(first)!, first, key);
  if (second !== undefined) {
    const spare = pickByHash(hashedEntries.get(second)!, key);
    if (spare) entries.push(toLookupEntry(spare, "spare"));
  }
  const reason = first === options.homeRegion ? "home" : "home-unavailable";
  return { ...answer, entries, reason };
}

/**
 * Returns the regions in order for callers. An overloaded home region stays
 * first: its entries shift individual requests within the caps, while lookup
 * answers would move all callers at once and overload the next region.
 */
function chooseRegions(options: BuildLookupAnswerOptions): string[] {
  const targets = chooseTargets(options);
  const home = targets.find((target) =>
    target.region === options.homeRegion && target.reason === "overloaded"
  );
  const regions = targets.map((target) => target.region);
  if (!home) return regions;
  return [home.region, ...regions.filter((region) => region !== home.region)];
}

/** Picks two preferred entries, one of them the owner if known, and a spare in
 * another zone. */
function pickInRegion(
  options: BuildLookupAnswerOptions,
  entries: readonly HashedEntry[],
  region: string,
  key: number,
): LookupEntry[] {
  const owner = findOwner(options, entries, region);
  const isOwnerFirst = owner !== undefined &&
    mix(key + 1) < OWNER_SHARE * 2 ** 32;
  const first = isOwnerFirst
    ? owner
    : pickByHash(entries, key, (member) => member !== owner) ?? owner;
  if (!first) return [];
  const second = owner && owner !== first
    ? owner
    : pickByHash(entries, key, (member) => member !== first);
  const chosen = second ? [first, second] : [first];
  const found = chosen.map((member) => toLookupEntry(member, "preferred"));
  const spare = pickByHash(
    entries,
    key,
    (member) => member.zone !== first.zone && !chosen.includes(member),
  );
  if (spare) found.push(toLookupEntry(spare, "spare"));
  return found;
}

function findOwner(
  options: BuildLookupAnswerOptions,
  entries: readonly HashedEntry[],
  region: string,
): SteeringMember | undefined {
  const view = options.groups.get(buildGroupKey(options.service, region));
  if (!view?.fresh) return undefined;
  const { ownerProcess } = view.state;
  return entries.find(({ member }) => member.processId === ownerProcess)
    ?.member;
}

function toLookupEntry(member: SteeringMember, role: LookupEntry["role"]) {
  const { callerAddress, zone, region } = member;
  return { address: callerAddress, zone, region, role };
}
