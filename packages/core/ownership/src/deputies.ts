/**
 * Choice of the deputy of a resource.
 *
 * @module
 */

import { spreadInstances } from "./rendezvous.ts";
import type { OwnershipMember } from "./types.ts";

/** Who may become deputy. */
export interface DeputyOptions {
  /** Own instance and zone. */
  readonly instance: string;
  readonly zone: string;
  readonly members: readonly OwnershipMember[];
  /** Tells whether a member's session is known to have ended. */
  readonly hasEnded: (incarnation: number) => boolean;
}

/** Returns the deputy's incarnation, of another zone if possible, or 0. */
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
