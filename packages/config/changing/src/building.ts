/**
 * Builds the table transaction of each kind of configuration change.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type {
  JsonValue,
  PlatformDocument,
  TableTransaction,
  TeamDocument,
} from "@dotterelmoor/core.types";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { describeDifferences } from "./differences.ts";
import type {
  BuildRefusal,
  BuiltChange,
  DrainOptions,
  LeaseReleaseOptions,
  QuarantineLiftOptions,
  SubmissionOptions,
} from "./built_change.ts";
import { findApplied, makeConflict } from "./resolving.ts";
import {
  CURRENT_KEY,
  getRowValue,
  getSequence,
  makeAuditKey,
  makeChangeKey,
  makeDocumentKey,
  makeDrainKey,
  makeGroupKey,
  makeQuarantineKey,
} from "./rows.ts";
import type {
  AuditRowValue,
  ChangeKind,
  ChangeOrigin,
  ChangeRows,
  ChangeRowValue,
  DocumentRowValue,
  DrainRowValue,
} from "./rows.ts";

/** Builds a change that submits a document. */
export function buildSubmission(
  options: SubmissionOptions,
): Result<BuiltChange, BuildRefusal> {
  const { rows, team, text, document, editedFrom } = options;
  const before = getRowValue<DocumentRowValue>(rows.target);
  return buildChange(options, {
    kind: "document",
    subject: team,
    targetKey: makeDocumentKey(team),
    content: [editedFrom, text],
    document,
    refuse: () =>
      (before?.version ?? 0) === editedFrom
        ? undefined
        : makeConflict(rows.target, document),
    makeValue: (sequence): DocumentRowValue => ({
      team,
      version: sequence,
      text,
      document,
      changeId: options.changeId,
      who: options.who,
      whenMs: options.whenMs,
    }),
    describe: () => {
      const lines = describeDifferences(before?.document, document);
      return lines.length > 0 ? lines : ["text: comments or layout only"];
    },
  });
}

/** Builds a change that drains a backend server. */
export function buildDrain(
  options: DrainOptions,
): Result<BuiltChange, BuildRefusal> {
  const { instance, who, why, whenMs } = options;
  return buildChange(options, {
    kind: "drain",
    subject: instance,
    targetKey: makeDrainKey(instance),
    makeValue: (version): DrainRowValue => ({
      instance,
      version,
      who,
      why,
      whenMs,
    }),
    describe: () => [`drains[${instance}]: added`],
  });
}

/** Builds a change that ends the drain of a backend server. */
export function buildUndrain(
  options: DrainOptions,
): Result<BuiltChange, BuildRefusal> {
  const { instance } = options;
  return buildChange(options, {
    kind: "undrain",
    subject: instance,
    targetKey: makeDrainKey(instance),
    refuse: () =>
      refuseMissingTarget(options.rows, `drain of instance ${instance}`),
    makeValue: () => null,
    describe: () => [`drains[${instance}]: removed`],
  });
}

/** Builds a change that lifts the quarantine of a request fingerprint. */
export function buildQuarantineLift(
  options: QuarantineLiftOptions,
): Result<BuiltChange, BuildRefusal> {
  const { fingerprint } = options;
  return buildChange(options, {
    kind: "quarantine-lift",
    subject: fingerprint,
    targetKey: makeQuarantineKey(fingerprint),
    refuse: () =>
      refuseMissingTarget(options.rows, `quarantine of ${fingerprint}`),
    makeValue: () => null,
    describe: () => [`quarantine[${fingerprint}]: removed`],
  });
}

/**
 * Builds a change that releases the lease of a target group: it clears the
 * owner and the deputy of the group row and keeps the fence. An entry of the
 * region takes the group over after the takeover wait, because the previous
 * owner may not have noticed the release yet.
 */
export function buildLeaseRelease(
  options: LeaseReleaseOptions,
): Result<BuiltChange, BuildRefusal> {
  const { service, region, rows } = options;
  return buildChange(options, {
    kind: "lease-release",
    subject: `${service}/${region}`,
    targetKey: makeGroupKey(service, region),
    refuse: () => refuseMissingTarget(rows, `lease of ${service} in ${region}`),
    makeValue: () => ({
      ...getRowValue<Record<string, JsonValue>>(rows.target),
      owner: 0,
      deputy: 0,
    }),
    describe: () => {
      const value = getRowValue<Record<string, JsonValue>>(rows.target);
      const { owner = 0, deputy = 0 } = value ?? {};
      return [`owner: ${owner} -> 0`, `deputy: ${deputy} -> 0`];
    },
  });
}

/**
 * Looks up whether a submission's change id was used before: `already-applied`
 * for the same submission, `refused` for a different change; undefined when the
 * id is unused.
 */
export function findAppliedSubmission(
  options: Pick<
    SubmissionOptions,
    "rows" | "team" | "text" | "editedFrom" | "changeId"
  >,
): BuildRefusal | undefined {
  const { rows, team, text, editedFrom, changeId } = options;
  const digest = computeDigest({
    kind: "document",
    subject: team,
    content: [editedFrom, text],
  });
  return findApplied(rows.change, { digest, changeId });
}

function computeDigest(
  content: Pick<ChangeContent, "kind" | "subject" | "content">,
): string {
  const { kind, subject, content: further = [] } = content;
  return createHash("sha256")
    .update(JSON.stringify([kind, subject, ...further]))
    .digest("hex");
}

interface ChangeContent {
  readonly kind: ChangeKind;
  readonly subject: string;
  readonly targetKey: string;
  /**
   * Values to hash besides kind and subject. The digest distinguishes a retry
   * of the same change from another change with the same id.
   */
  readonly content?: readonly JsonValue[];
  readonly document?: TeamDocument | PlatformDocument;
  readonly refuse?: () => BuildRefusal | undefined;
  /** Makes the value of the target row; null deletes the row. */
  readonly makeValue: (sequence: number) => object | null;
  readonly describe: () => string[];
}

function buildChange(
  origin: ChangeOrigin & { readonly rows: ChangeRows },
  content: ChangeContent,
): Result<BuiltChange, BuildRefusal> {
  const { rows, changeId } = origin;
  const { kind, subject, document } = content;
  const digest = computeDigest(content);
  // Check for a retry first: the effect of the first attempt would look like a
  // conflict.
  const refusal = findApplied(rows.change, { digest, changeId }) ??
    content.refuse?.();
  if (refusal !== undefined) return Err(refusal);
  const sequence = getSequence(rows.current) + 1;
  return Ok({
    transaction: buildTransaction(origin, { ...content, digest, sequence }),
    kind,
    subject,
    changeId,
    digest,
    sequence,
    rows,
    ...(document === undefined ? {} : { document }),
  });
}

type NumberedContent = ChangeContent & {
  readonly digest: string;
  readonly sequence: number;
};

function buildTransaction(
  origin: ChangeOrigin & { readonly rows: ChangeRows },
  content: NumberedContent,
): TableTransaction {
  const { rows, changeId, who, whenMs } = origin;
  const { kind, subject, digest, sequence, targetKey } = content;
  const changeKey = makeChangeKey(changeId);
  const auditKey = makeAuditKey(sequence);
  const change: ChangeRowValue = {
    sequence,
    kind,
    subject,
    digest,
    who,
    whenMs,
  };
  return {
    checks: [
      { key: changeKey, version: 0 },
      { key: CURRENT_KEY, version: rows.current.version },
      { key: targetKey, version: rows.target.version },
      { key: auditKey, version: 0 },
    ],
    writes: [
      { key: targetKey, value: toJson(content.makeValue(sequence)) },
      { key: CURRENT_KEY, value: sequence },
      { key: changeKey, value: toJson(change) },
      { key: auditKey, value: toJson(makeAudit(origin, content)) },
    ],
  };
}

function makeAudit(
  origin: ChangeOrigin,
  content: NumberedContent,
): AuditRowValue {
  const { changeId, who, why, whenMs, team } = origin;
  const { sequence, kind, subject } = content;
  return {
    sequence,
    changeId,
    kind,
    subject,
    ...(team === undefined ? {} : { team }),
    who,
    why,
    whenMs,
    differences: content.describe(),
  };
}

function refuseMissingTarget(
  rows: ChangeRows,
  what: string,
): BuildRefusal | undefined {
  if (rows.target.value !== null) return undefined;
  return {
    type: "refused",
    error: {
      code: "not-found",
      message: `There is no ${what}`,
      hint: "List what exists and check the name",
    },
  };
}

function toJson(value: object | null): JsonValue {
  return value as JsonValue;
}
