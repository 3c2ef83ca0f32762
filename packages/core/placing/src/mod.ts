/**
 * Choice of region and backend server for each request.
 *
 * @module
 */

export { Assigner } from "./assigner.ts";
export type { AssignOptions } from "./assigner.ts";
export { AssignmentTable } from "./assignment_table.ts";
export type {
  Assignment,
  TableChanges,
  TablePosition,
} from "./assignment_table.ts";
export { parseObjectKey } from "./object_key.ts";
export type { ObjectKeyParts } from "./object_key.ts";
export { createPlacer } from "./placer.ts";
export type { Placer, PlacerOptions } from "./placer.ts";
export type { PlacingPlans, ServiceDescription } from "./service_states.ts";
export type { ServicePlan } from "./service_state.ts";
export type { RunTimes } from "./work_model.ts";
export type {
  Observations,
  Placement,
  PlaceRequest,
  RefusalInputs,
  RefusalReason,
  RunObservation,
  SendEnd,
  SendOutcome,
  SendPlacement,
  ServerLoadReport,
} from "./types.ts";
