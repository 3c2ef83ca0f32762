/**
 * Regions that a request may use, in order.
 *
 * @module
 */

import type { ConfigurationSnapshot } from "@dotterelmoor/core.types";
import type { GroupViews } from "./inputs.ts";

/** Why a region stands where it does in the order. */
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
  /** Peer address of the group owner, if its state is fresh. */
  readonly address: string | undefined;
  readonly queueMs: number | undefined;
}

/** Input of `chooseTargets`. */
export interface ChooseTargetsOptions {
  readonly service: string;
  /** Region nearest to the client; it leads if the document lists it. */
  readonly homeRegion: string;
  readonly snapshot: ConfigurationSnapshot;
  readonly groups: GroupViews;
  readonly nowMs: number;
  /** Order chosen last time for the same service and home region. */
  readonly previous?: readonly Target[];
}

/** Orders the regions that the service's document lists, the best first. */
export function chooseTargets(_options: ChooseTargetsOptions): Target[] {
  throw new Error("Cannot choose targets yet");
}
