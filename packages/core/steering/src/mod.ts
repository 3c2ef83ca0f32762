/**
 * Lookup answers, order of target regions, and the client-block table.
 *
 * @module
 */

export { createClientBlockTable, parseIpv4 } from "./client_blocks.ts";
export type { ClientBlockTable } from "./client_blocks.ts";
export { buildGroupKey } from "./inputs.ts";
export type {
  GroupState,
  GroupView,
  GroupViews,
  SteeringMember,
} from "./inputs.ts";
export { buildLookupAnswer, resolveHomeRegion } from "./lookup.ts";
export type {
  BuildLookupAnswerOptions,
  LookupAnswer,
  LookupEntry,
  LookupReason,
  ResolveHomeRegionOptions,
} from "./lookup.ts";
export { findRequestKind } from "./request_kinds.ts";
export { chooseTargets, findService } from "./targets.ts";
export type { ChooseTargetsOptions, Target, TargetReason } from "./targets.ts";
