/**
 * Checks of the guarantees that hold under faults, based on a run's records.
 *
 * @module
 */

import { CRASH_PATH } from "./callers.ts";
import { getAllowedRegions } from "./documents.ts";
import type {
  ChangeRecord,
  FaultRecord,
  Records,
  RequestRecord,
  RunRecord,
} from "./records.ts";

/**
 * Time within which an undisturbed entry applies a change: the limit stated for
 * existing installations.
 */
const IN_FORCE_MS = 2_500;

/**
 * Time after which a route's regions of an older version are no longer used:
 * the limit stated for existing installations.
 */
const REGIONS_IN_FORCE_MS = 3_000;

/** Fault-free time after which time limits apply to an entry. */
const UNDISTURBED_MS = 4_000;

/** Number of crashes after which a request must be known to crash servers. */
const CRASH_THRESHOLD = 3;

/**
 * Sends of a crashing request that undisturbed entries may make once it has been
 * known for `UNDISTURBED_MS`: the limit that the platform states.
 */
const MAX_CRASHING_SENDS = 3;

/** Time after which a caller may have aborted the request itself. */
const MIN_CALLER_ABORT_MS = 1_400;

/** Minimum share of requests that are served once all faults have ended. */
const SERVED_SHARE = 0.95;

/** Statuses that promise that a request was not run. */
const REFUSALS: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** A violated guarantee. */
export interface Violation {
  readonly promise: string;
  readonly detail: string;
}

type Check = (records: Records, context: CheckContext) => Violation[];

/** Data that the checks need besides the records. */
export interface CheckContext {
  /** Time at which the last fault ended. */
  readonly faultsEndedMs: number;
}

/** Checks by the guarantee that they verify, which reports print. */
const CHECKS: Readonly<Record<string, Check>> = {
  "runs at most once": (records) => {
    const counts = new Map<string, number>();
    for (const { requestId } of records.runs) {
      counts.set(requestId, (counts.get(requestId) ?? 0) + 1);
    }
    return records.requests
      .filter(({ id, repeatable }) => !repeatable && (counts.get(id) ?? 0) > 1)
      .map((request) => createViolation("runs at most once", request));
  },

  "refused requests do not run": (records) => {
    const ran = new Set(records.runs.map(({ requestId }) => requestId));
    return records.requests
      .filter(({ id, status, repeatable }) =>
        !repeatable && status !== undefined && REFUSALS.has(status) &&
        ran.has(id)
      )
      .map((request) =>
        createViolation("refused requests do not run", request)
      );
  },

  "answers are whole and one's own": (records) =>
    records.requests
      .filter(({ status, isWhole }) => status === 200 && !isWhole)
      .map((request) =>
        createViolation("answers are whole and one's own", request)
      ),

  "proper requests are accepted": (records) =>
    records.requests
      .filter(({ path, status = 0 }) =>
        !path.startsWith("/v") && status >= 400 && status < 500 &&
        status !== 429
      )
      .map((request) =>
        createViolation("proper requests are accepted", request)
      ),

  "changes are in force in time": (records) =>
    findUnknownRoutes(records).filter((request) => {
      const change = findDocument(records, request.path)!;
      const undisturbedFromMs =
        Math.max(change.atMs, request.sentAtMs - UNDISTURBED_MS) -
        UNDISTURBED_MS;
      return request.sentAtMs > change.atMs + IN_FORCE_MS &&
        records.isUndisturbed(
          request.entry,
          undisturbedFromMs,
          request.endedAtMs,
        );
    }).map((request) =>
      createViolation("changes are in force in time", request)
    ),

  "changes are not taken back": (records) =>
    findUnknownRoutes(records).filter((request) =>
      records.requests.some((earlier) =>
        earlier.pid === request.pid && earlier.path === request.path &&
        earlier.status === 200 && earlier.endedAtMs < request.sentAtMs
      )
    ).map((request) => createViolation("changes are not taken back", request)),

  "leaving servers get no new work": (records) =>
    records.changes.filter(({ kind }) => kind === "draining").flatMap(
      ({ subject, atMs }) =>
        records.runs.filter(({ requestId, serverId, atMs: ranAtMs }) => {
          if (serverId !== subject || ranAtMs < atMs + IN_FORCE_MS) {
            return false;
          }
          const request = records.requests.find(({ id }) => id === requestId);
          return request !== undefined &&
            records.isUndisturbed(
              request.entry,
              atMs - UNDISTURBED_MS,
              ranAtMs,
            );
        }).map(({ requestId }) => ({
          promise: "leaving servers get no new work",
          detail: `${requestId} ran at ${subject}, draining since ${atMs}`,
        })),
    ),

  "requests run in a region of their route": (records) => {
    const requests = new Map(
      records.requests.map((request) => [request.id, request]),
    );
    const documents = records.changes.filter(({ kind }) => kind === "document");
    return records.runs.flatMap((run) => {
      const request = requests.get(run.requestId);
      if (request === undefined) return [];
      const allowed = listAllowedRegions(documents, request, run);
      const isInside = allowed.length === 0 || allowed.includes(run.region);
      return isInside || !canReceiveVersions(records, request, run) ? [] : [{
        promise: "requests run in a region of their route",
        detail: JSON.stringify({ run, allowed, request }),
      }];
    });
  },

  "requests that end servers are kept away": (records) => {
    const crashes = records.changes.filter(({ kind }) => kind === "crash");
    const threshold = crashes[CRASH_THRESHOLD - 1];
    if (threshold === undefined) return [];
    const entries = new Map(
      records.requests.filter(({ path }) => path === CRASH_PATH)
        .map(({ id, entry }) => [id, entry]),
    );
    const late = records.runs.filter(({ requestId, atMs }) => {
      const entry = entries.get(requestId);
      return entry !== undefined && atMs > threshold.atMs + UNDISTURBED_MS &&
        records.isUndisturbed(entry, atMs - UNDISTURBED_MS, atMs);
    });
    return late.length <= MAX_CRASHING_SENDS ? [] : [{
      promise: "requests that end servers are kept away",
      detail: JSON.stringify({ crashes, late }),
    }];
  },

  "planned stops cut off no request": (records) =>
    records.faults.filter(({ kind }) => kind === "terminate").flatMap((stop) =>
      records.requests.filter((request) =>
        request.status === undefined && stop.entries.includes(request.entry) &&
        request.endedAtMs >= stop.fromMs && request.sentAtMs <= stop.untilMs &&
        request.endedAtMs - request.sentAtMs < MIN_CALLER_ABORT_MS &&
        records.runs.some(({ requestId }) => requestId === request.id) &&
        isOnlyFault(records, stop, request)
      ).map((request) =>
        createViolation("planned stops cut off no request", request)
      )
    ),

  "service is back after the faults": (records, { faultsEndedMs }) => {
    const late = records.requests.filter(({ sentAtMs, path }) =>
      sentAtMs > faultsEndedMs + UNDISTURBED_MS && path.startsWith("/desk/") &&
      path !== CRASH_PATH
    );
    const served = late.filter(({ status }) => status === 200).length;
    return served >= SERVED_SHARE * late.length ? [] : [{
      promise: "service is back after the faults",
      detail: `${served} of ${late.length} served`,
    }];
  },
};

/**
 * Lists the allowed regions of all versions that may be in force when a request
 * arrives at a server, regardless of when it was sent. Empty if the route is not
 * restricted to regions.
 */
function listAllowedRegions(
  documents: readonly ChangeRecord[],
  { path }: RequestRecord,
  { arrivedAtMs }: RunRecord,
): string[] {
  const published = documents.filter(({ atMs }) => atMs <= arrivedAtMs);
  const oldest = published.findLastIndex(({ atMs }) =>
    atMs < arrivedAtMs - REGIONS_IN_FORCE_MS
  );
  return published.slice(Math.max(0, oldest))
    .flatMap(({ subject }) => getAllowedRegions(path, Number(subject)));
}

/**
 * Returns true if the request's entry could receive each version in time.
 * Server faults don't prevent that, but a stall does, because the store runs in
 * this process.
 */
function canReceiveVersions(
  { faults, stalls }: Records,
  { entry }: RequestRecord,
  { arrivedAtMs }: RunRecord,
): boolean {
  const fromMs = arrivedAtMs - REGIONS_IN_FORCE_MS - UNDISTURBED_MS;
  const disturbed = faults.filter(({ kind, entries }) =>
    !kind.startsWith("server_") &&
    (entries.length === 0 || entries.includes(entry))
  );
  return ![...disturbed, ...stalls].some((span) =>
    span.fromMs <= arrivedAtMs && span.untilMs >= fromMs
  );
}

/**
 * Returns true if no other fault affected the request's entry, the store or the
 * servers.
 */
function isOnlyFault(
  records: Records,
  stop: FaultRecord,
  request: RequestRecord,
): boolean {
  return !records.faults.some((fault) =>
    fault !== stop && fault.fromMs <= request.endedAtMs &&
    fault.untilMs >= request.sentAtMs - UNDISTURBED_MS &&
    (fault.entries.length === 0 || fault.entries.includes(request.entry))
  );
}

/** Runs all checks and returns the violations. */
export function checkGuarantees(
  records: Records,
  context: CheckContext,
): Violation[] {
  return Object.values(CHECKS).flatMap((check) => check(records, context));
}

/**
 * Finds requests to a version's own route that got status 404 although no newer
 * version had replaced it.
 */
function findUnknownRoutes(records: Records): RequestRecord[] {
  return records.requests.filter((request) => {
    if (request.status !== 404) return false;
    const change = findDocument(records, request.path);
    return change !== undefined &&
      !records.changes.some(({ kind, atMs }) =>
        kind === "document" && atMs > change.atMs && atMs < request.endedAtMs
      );
  });
}

function findDocument(records: Records, path: string) {
  return records.changes.find(({ kind, subject, atMs }) =>
    kind === "document" && path === `/v${subject}/` && atMs > 0
  );
}

function createViolation(promise: string, request: RequestRecord): Violation {
  return { promise, detail: JSON.stringify(request) };
}
