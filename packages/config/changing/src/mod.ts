/**
 * Configuration changes: atomic transactions that are audited and made
 * idempotent by a change id.
 *
 * @module
 */

export { applyChange } from "./applying.ts";
export type { ApplyChangeOptions, ChangeTable } from "./applying.ts";
export {
  buildDrain,
  buildLeaseRelease,
  buildQuarantineLift,
  buildSubmission,
  buildUndrain,
  findAppliedSubmission,
} from "./building.ts";
export type {
  BuildRefusal,
  BuiltChange,
  DrainOptions,
  LeaseReleaseOptions,
  QuarantineLiftOptions,
  SubmissionOptions,
} from "./built_change.ts";
export { describeDifferences } from "./differences.ts";
export { resolveSubmission } from "./resolving.ts";
export type {
  ChangeAlreadyApplied,
  ChangeCommitted,
  ChangeConflict,
  ChangeMustRetry,
  ChangeRefused,
  ChangeResolution,
  ChangeUnknown,
} from "./resolution.ts";
export {
  CURRENT_KEY,
  getRowValue,
  getSequence,
  makeAuditKey,
  makeAuditPrefix,
  makeChangeKey,
  makeDocumentKey,
  makeDrainKey,
  makeGroupKey,
  makeQuarantineKey,
  PLATFORM_TEAM,
} from "./rows.ts";
export type {
  AuditRowValue,
  ChangeError,
  ChangeKind,
  ChangeOrigin,
  ChangeRows,
  ChangeRowValue,
  ConfigurationRows,
  DocumentRowValue,
  DrainRowValue,
} from "./rows.ts";
export {
  buildSnapshot,
  getPlatform,
  loadConfigurationRows,
  loadSnapshot,
} from "./snapshots.ts";
export type { TableReader } from "./snapshots.ts";
