/**
 * Results of requests that are not passed to the forwarder.
 *
 * @module
 */

import type { BodyResult } from "./body.ts";
import type { ForwardResult } from "./forward_types.ts";
import type { InvalidReason } from "./outcomes.ts";

/** Time in milliseconds after which callers may retry a request for whose body
 * there was no room. */
const MEMORY_RETRY_MS = 1_000;

/** Results of requests whose body was not read to its end. */
export const UNREAD_RESULTS: Readonly<
  Record<Exclude<BodyResult["type"], "body">, ForwardResult>
> = {
  broken: reject("malformed"),
  cut: { outcome: { type: "abandoned" }, sends: [] },
  late: refuse("too-late", 0),
  "no-memory": refuse("no-memory", MEMORY_RETRY_MS),
  "too-large": reject("body-too-large"),
};

/** Builds the result of a request that is not run. */
export function refuse(
  reason: "leaving" | "no-configuration" | "no-memory" | "too-late",
  retryAfterMs: number,
): ForwardResult {
  return { outcome: { type: "not-run", reason, retryAfterMs }, sends: [] };
}

/** Builds the result of an invalid request. */
export function reject(reason: InvalidReason): ForwardResult {
  return { outcome: { type: "invalid", reason }, sends: [] };
}
