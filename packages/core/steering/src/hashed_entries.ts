/**
 * Live entries by region with their hashes, computed once per list of members.
 *
 * @module
 */

import type { SteeringMember } from "./inputs.ts";

/** An entry and the hash of its process id. */
export interface HashedEntry {
  readonly member: SteeringMember;
  readonly hash: number;
}

/** Live entries of each region. */
export type HashedEntries = ReadonlyMap<string, readonly HashedEntry[]>;

const entriesByMembers = new WeakMap<
  readonly SteeringMember[],
  HashedEntries
>();

/**
 * Groups live entries by region; cached by the identity of the list. Suspect
 * entries are used only in regions without alive ones.
 */
export function getHashedEntries(
  members: readonly SteeringMember[],
): HashedEntries {
  const cached = entriesByMembers.get(members);
  if (cached) return cached;
  const regions = new Map<string, HashedEntry[]>();
  for (const state of ["alive", "suspect"] as const) {
    const found = new Map<string, HashedEntry[]>();
    for (const member of members) {
      if (member.state !== state || regions.has(member.region)) continue;
      const entry = { member, hash: computeHash(member.processId) };
      const list = found.get(member.region);
      if (list) list.push(entry);
      else found.set(member.region, [entry]);
    }
    for (const [region, list] of found) regions.set(region, list);
  }
  entriesByMembers.set(members, regions);
  return regions;
}

/** FNV-1a hash of a text. */
export function computeHash(text: string): number {
  let hash = 0x811c9dc5;
  for (let n = 0; n < text.length; n += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(n), 0x01000193);
  }
  return hash >>> 0;
}

/**
 * Picks an accepted entry by rendezvous hashing, so that a change of members
 * moves only callers of the entries that joined or left. Undefined if no entry
 * is accepted.
 */
export function pickByHash(
  entries: readonly HashedEntry[],
  key: number,
  accept: (member: SteeringMember) => boolean = () => true,
): SteeringMember | undefined {
  let best: SteeringMember | undefined;
  let bestScore = -1;
  for (const { member, hash } of entries) {
    const score = mix(hash ^ key);
    if (score > bestScore && accept(member)) {
      best = member;
      bestScore = score;
    }
  }
  return best;
}

/** Finalizer of MurmurHash3. */
export function mix(value: number): number {
  let mixed = value;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
