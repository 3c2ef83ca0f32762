/**
 * Validates the shape of messages from peers.
 *
 * @module
 */

import type { Outcome } from "@dotterelmoor/core.types";
import type {
  PeerMessage,
  PeerMessageOf,
  PeerMessageType,
  SavedState,
} from "./messages.ts";

type Check = (value: unknown) => boolean;

/** Requires a check for each field, so that a new field cannot go unchecked. */
type FieldChecks<M> = { readonly [K in Exclude<keyof M, "type">]-?: Check };

/** Returns whether a value is a map with string keys. */
export function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null &&
    !Array.isArray(value) && !ArrayBuffer.isView(value);
}

/** Returns whether a value is a string. */
export function isString(value: unknown): value is string {
  return typeof value === "string";
}

/** Returns whether a value is a non-negative safe integer. */
export function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

function isNonNegativeNumber(value: unknown): boolean {
  return typeof value === "number" && Number.isFinite(value) && value >= 0;
}

function isBoolean(value: unknown): boolean {
  return typeof value === "boolean";
}

function isBytes(value: unknown): boolean {
  return value instanceof Uint8Array;
}

function isOptionalBytes(value: unknown): boolean {
  return value === undefined || isBytes(value);
}

function isHeaderMap(value: unknown): boolean {
  return isRecord(value) &&
    Object.values(value).every((item) => isString(item) || isStringList(item));
}

function isOptionalNonNegativeNumber(value: unknown): boolean {
  return value === undefined || isNonNegativeNumber(value);
}

function isOptionalString(value: unknown): boolean {
  return value === undefined || isString(value);
}

function isPriority(value: unknown): boolean {
  return value === "critical" || value === "normal" || value === "background";
}

function isAnything(): boolean {
  return true;
}

function hasFields(
  value: unknown,
  fields: Readonly<Record<string, Check>>,
): boolean {
  return isRecord(value) &&
    Object.entries(fields).every(([name, check]) => check(value[name]));
}

const OUTCOME_FIELDS: {
  readonly [T in Outcome["type"]]: FieldChecks<Extract<Outcome, { type: T }>>;
} = {
  answered: {
    status: (value) =>
      Number.isInteger(value) && (value as number) >= 100 &&
      (value as number) <= 599,
    headers: isHeaderMap,
    body: isBytes,
    server: isString,
  },
  "not-run": {
    reason: isString,
    retryAfterMs: isNonNegativeNumber,
    ownerHint: isOptionalString,
  },
  unknown: { reason: isString },
};

function isOutcome(value: unknown): boolean {
  if (!isRecord(value) || !isString(value.type)) return false;
  return Object.hasOwn(OUTCOME_FIELDS, value.type) &&
    hasFields(value, OUTCOME_FIELDS[value.type as Outcome["type"]]);
}

function isSnapshot(value: unknown): boolean {
  return hasFields(value, {
    sequence: isCount,
    platform: isRecord,
    teams: isRecord,
    drains: isStringList,
  });
}

function isCatalogPosition(value: unknown): boolean {
  return hasFields(value, {
    servers: isCount,
    orders: isCount,
    crashes: isOptionalCount,
    eras: (eras) => eras === undefined || isEras(eras),
    document: isOptionalCount,
  });
}

function isEras(value: unknown): boolean {
  return hasFields(value, {
    servers: isOptionalCount,
    orders: isOptionalCount,
    crashes: isOptionalCount,
  });
}

function isOptionalCount(value: unknown): boolean {
  return value === undefined || isCount(value);
}

function isTableUpdate(value: unknown): boolean {
  return hasFields(value, {
    era: isOptionalCount,
    version: isCount,
    isComplete: isBoolean,
    changes: (changes) => Array.isArray(changes) && changes.every(isRecord),
  });
}

function isCatalogDelta(value: unknown): boolean {
  return hasFields(value, {
    servers: isTableUpdate,
    orders: isTableUpdate,
    crashes: (update) => update === undefined || isTableUpdate(update),
  });
}

function isStringList(value: unknown): boolean {
  return Array.isArray(value) && value.every(isString);
}

function isPackedLoads(value: unknown): boolean {
  return hasFields(value, {
    numbering: isString,
    from: isCount,
    servers: isStringList,
    counts: isBytes,
  });
}

function isMapOf(value: unknown, check: Check): boolean {
  return isRecord(value) && Object.values(value).every(check);
}

function isRunTimes(value: unknown): boolean {
  return hasFields(value, {
    warmMs: isNonNegativeNumber,
    coldMs: isNonNegativeNumber,
    meanMs: isNonNegativeNumber,
  });
}

/** Returns whether a value is the state that entries save in the store. */
export function isSavedState(value: unknown): value is SavedState {
  return hasFields(value, {
    plans: isPlacingPlans,
    objects: (objects) => isMapOf(objects, isStringList),
  });
}

function isPlacingPlans(value: unknown): boolean {
  return isMapOf(value, (plan) =>
    hasFields(plan, {
      all: isRunTimes,
      routes: (routes) => isMapOf(routes, isRunTimes),
    }));
}

function isOptionalPlacingPlans(value: unknown): boolean {
  return value === undefined || isPlacingPlans(value);
}

function isTablePosition(value: unknown): boolean {
  return hasFields(value, { origin: isString, revision: isCount });
}

function isAssignment(value: unknown): boolean {
  return Array.isArray(value) && value.length === 2 && isString(value[0]) &&
    (value[1] === null || isString(value[1]));
}

function isTableChanges(value: unknown): boolean {
  return isTablePosition(value) && hasFields(value, {
    isComplete: isBoolean,
    assignments: (list) => Array.isArray(list) && list.every(isAssignment),
  });
}

function isOptionalTableChanges(value: unknown): boolean {
  return value === undefined || isTableChanges(value);
}

function isCrashNote(value: unknown): boolean {
  return hasFields(value, {
    key: isString,
    type: (type) => type === "crash" || type === "cured" || type === "trial",
    fingerprint: isString,
    service: isString,
    server: isString,
    software: isString,
    entry: isString,
    atMs: isNonNegativeNumber,
  });
}

function isRunObservation(value: unknown): boolean {
  return hasFields(value, {
    service: isString,
    work: isString,
    runMs: isNonNegativeNumber,
  });
}

const REQUEST_FIELDS = {
  service: isString,
  method: isString,
  path: isString,
  headers: isHeaderMap,
  body: isBytes,
  deadlineMs: isNonNegativeNumber,
  requestId: isString,
};

const MESSAGE_FIELDS: {
  readonly [T in PeerMessageType]: FieldChecks<PeerMessageOf<T>>;
} = {
  exec: {
    ...REQUEST_FIELDS,
    homeRegion: isString,
    kind: isString,
    priority: isPriority,
    repeatable: isBoolean,
    key: isOptionalString,
    fingerprint: isString,
    frontRegion: isString,
  },
  exec_result: { outcome: isOutcome },
  submit: { ...REQUEST_FIELDS, client: isString },
  promise: {
    from: isCount,
    to: isCount,
    resource: isString,
    fence: isCount,
    requestId: isCount,
  },
  promise_result: { granted: isBoolean },
  permit: {
    from: isString,
    to: isString,
    service: isString,
    holder: isString,
    requestId: isCount,
    demand: isNonNegativeNumber,
  },
  permit_result: { granted: isBoolean, rate: isNonNegativeNumber },
  membership: { message: isAnything },
  catalog_pull: { position: isCatalogPosition },
  catalog: {
    delta: isCatalogDelta,
    document: isOptionalBytes,
    servers: isOptionalBytes,
    ageMs: isNonNegativeNumber,
    documentAgeMs: isOptionalNonNegativeNumber,
    reader: isOptionalString,
  },
  load_report: {
    known: (known) => hasFields(known, { numbering: isString, count: isCount }),
    servers: isStringList,
    counts: isBytes,
    uses: isStringList,
    table: isTablePosition,
    runs: (runs) => Array.isArray(runs) && runs.every(isRunObservation),
    wantsPlans: isBoolean,
  },
  load_sums: {
    loads: isPackedLoads,
    counts: isOptionalBytes,
    table: isOptionalTableChanges,
    plans: isOptionalPlacingPlans,
  },
  load_redirect: { peerAddress: isString },
  crash_report: {
    notes: (notes) => Array.isArray(notes) && notes.every(isCrashNote),
    removedKeys: isStringList,
  },
  crash_noted: { written: isBoolean },
  config_push: { snapshot: isSnapshot, forward: isBoolean },
  config_pull: { sequence: isCount },
  config_unchanged: { sequence: isCount },
  handover: { resource: isString, fence: isCount },
  error: { code: isString, message: isString },
};

/** Returns whether a decoded value is a valid message of the protocol. */
export function isPeerMessage(value: unknown): value is PeerMessage {
  return isRecord(value) && isString(value.type) &&
    Object.hasOwn(MESSAGE_FIELDS, value.type) &&
    hasFields(value, MESSAGE_FIELDS[value.type as PeerMessageType]);
}
