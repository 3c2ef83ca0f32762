/**
 * Choice of the deputy of a resource.
 *
 * @module
 */

import { spreadInstances } from "./rendezvous.ts";
import type { OwnershipMember } from "./types.ts";

/** Input of the choice of a deputy. */
export interface DeputyOptions {
  /** Own instance, which can't be its own deputy. */
  readonly instance: string;
  /** Own zone; the deputy should be in another. */
  readonly zone: string;
  readonly members: readonly OwnershipMember[];
  /** Returns true if a member's session is known to have ended. */
  readonly hasEnded: (incarnation: number) => boolean;
}

/**
 * Chooses a deputy, in another zone if possible, and returns its incarnation,
 * or 0 if there is no candidate.
 */
export function chooseDeputy(resource: string, options: DeputyOptions): number {
  const candidates = options.members.filter((member) =>
    member.instance !== options.instance &&
    !options.hasEnded(member.incarnation)
  );
  const elsewhere = candidates.filter(({ zone }) => zone !== options.zone);
  const pool = elsewhere.length > 0 ? elsewhere : candidates;
  const byInstance = new Map(pool.map((member) => [member.instance, member]));
  const [first] = spreadInstances(resource, [...byInstance.keys()]);
  return first === undefined ? 0 : byInstance.get(first)!.incarnation;
}
