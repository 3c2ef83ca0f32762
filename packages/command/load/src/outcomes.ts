/**
 * Classifies responses and errors by outcome and reason.
 *
 * @module
 */

import { RequestError, TimeoutError } from "got";

type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** Outcome of one request. */
export interface RequestOutcome {
  readonly outcome: "answered" | "not-run" | "unknown" | "failed";
  readonly reason: string;
  /** Free share of the slots or the link, 0 to 1, if the response states it. */
  readonly headroom?: number;
  /** True if the response came from an entry that is shutting down. */
  readonly isDraining: boolean;
}

/** Status and headers of a response. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: Headers;
  /** Id that was sent with the request. */
  readonly requestId: string;
}

/** Classifies a complete response. */
export function classifyResponse(response: ResponseHead): RequestOutcome {
  const { status, headers, requestId } = response;
  const reason = getHeader(headers, "dotterelmoor-reason");
  const base = {
    headroom: readHeadroom(headers),
    isDraining: getHeader(headers, "connection") === "close" ||
      reason === "closing",
  };
  const echoed = headers["dotterelmoor-request-id"];
  if (echoed !== undefined && echoed !== requestId) {
    return { ...base, outcome: "failed", reason: "wrong-answer" };
  }
  const outcome = getHeader(headers, "dotterelmoor-outcome");
  if (outcome === "not-run" || outcome === "unknown") {
    return { ...base, outcome, reason };
  }
  if (getHeader(headers, "dotterelmoor-not-run") === "true") {
    return { ...base, outcome: "not-run", reason: "server-refused" };
  }
  return {
    ...base,
    outcome: "answered",
    reason: status < 400 ? "" : `status-${status}`,
  };
}

/** Classifies a request that ended without a complete response. */
export function classifyError(error: unknown): RequestOutcome {
  return {
    outcome: "failed",
    reason: getFailureReason(error),
    isDraining: false,
  };
}

/** Returns whether a failed request was certainly not sent. */
export function isUnsent(error: unknown): boolean {
  return error instanceof RequestError && error.code === "ECONNREFUSED";
}

function getFailureReason(error: unknown): string {
  if (error instanceof TimeoutError) return "timed-out";
  if (isUnsent(error)) return "connection-refused";
  return error instanceof RequestError ? "connection-lost" : "no-target";
}

function readHeadroom(headers: Headers): number | undefined {
  const stated = Number(headers["dotterelmoor-headroom"] ?? NaN);
  if (Number.isFinite(stated)) return toShare(stated);
  const slots = Number(headers["dotterelmoor-slots"] ?? NaN);
  const inFlight = Number(headers["dotterelmoor-in-flight"] ?? NaN);
  const isKnown = slots > 0 && Number.isFinite(inFlight);
  return isKnown ? toShare((slots - inFlight) / slots) : undefined;
}

function toShare(share: number): number {
  return Math.min(Math.max(share, 0), 1);
}

function getHeader(headers: Headers, name: string): string {
  return String(headers[name] ?? "");
}
