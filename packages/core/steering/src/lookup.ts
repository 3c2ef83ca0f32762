/**
 * Look-up answers.
 *
 * @module
 */

import type { ConfigurationSnapshot } from "@dotterelmoor/core.types";
import type { ClientBlockTable } from "./client_blocks.ts";
import type { GroupViews, SteeringMember } from "./inputs.ts";

/** An entry in a look-up answer. */
export interface LookupEntry {
  /** Caller address of the entry. */
  readonly address: string;
  readonly zone: string;
  readonly region: string;
  readonly role: "preferred" | "spare";
}

/** Why the answer names the entries that it does. */
export type LookupReason =
  | "home"
  | "home-unavailable"
  | "no-entries"
  | "unknown-service";

/** Answer to a caller that asks which entry to use. */
export interface LookupAnswer {
  readonly service: string;
  readonly entries: readonly LookupEntry[];
  readonly ttlMs: number;
  /** Configuration sequence that the answer is based on. */
  readonly sequence: number;
  readonly reason: LookupReason;
}

/** Input of `resolveHomeRegion`. */
export interface ResolveHomeRegionOptions {
  /** IPv4 address of the client. */
  readonly client: string;
  readonly blocks: ClientBlockTable;
  /** Region of this entry, for clients in no block. */
  readonly ownRegion: string;
}

/** Input of `buildLookupAnswer`. */
export interface BuildLookupAnswerOptions {
  readonly service: string;
  readonly client: string;
  readonly homeRegion: string;
  readonly snapshot: ConfigurationSnapshot;
  readonly members: readonly SteeringMember[];
  readonly groups: GroupViews;
  readonly nowMs: number;
}

/** Region nearest to the client. */
export function resolveHomeRegion(options: ResolveHomeRegionOptions): string {
  return options.blocks.find(options.client) ?? options.ownRegion;
}

/** Builds the answer to a look-up. */
export function buildLookupAnswer(
  _options: BuildLookupAnswerOptions,
): LookupAnswer {
  throw new Error("Cannot build a look-up answer yet");
}
