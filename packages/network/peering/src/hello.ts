/**
 * The hello: the first frame in each direction, with version, identity and token.
 *
 * @module
 */

import { createHash, timingSafeEqual } from "node:crypto";
import { isCount, isRecord, isString } from "./guards.ts";
import { PROTOCOL_VERSION } from "./messages.ts";
import type { PeerErrorMessage, PeerIdentity } from "./messages.ts";

/** Result of checking a hello. */
export type HelloResult =
  | { readonly type: "accepted"; readonly peer: PeerIdentity }
  | { readonly type: "refused"; readonly error: PeerErrorMessage };

/** Builds the hello of this process. */
export function buildHello(
  identity: PeerIdentity | (() => PeerIdentity),
  token: string,
): object {
  const { incarnation, processId, instance, region, zone } =
    typeof identity === "function" ? identity() : identity;
  return {
    type: "hello",
    protocol: PROTOCOL_VERSION,
    incarnation,
    processId,
    instance,
    region,
    zone,
    token,
  };
}

/** Builds an error message. */
export function buildError(code: string, message: string): PeerErrorMessage {
  return { type: "error", code, message };
}

/** Checks the version, the token and the fields of a peer's hello. */
export function checkHello(value: unknown, token: string): HelloResult {
  if (!isRecord(value) || value.type !== "hello") {
    return makeRefusal("malformed-hello", "The first frame is not a hello");
  }
  if (value.protocol !== PROTOCOL_VERSION) {
    return makeRefusal(
      "unknown-version",
      `This process speaks protocol version ${PROTOCOL_VERSION} only`,
    );
  }
  if (!isString(value.token) || !isSameToken(value.token, token)) {
    return makeRefusal("bad-token", "The peer token is wrong");
  }
  const { incarnation, processId, instance, region, zone } = value;
  const isComplete = isCount(incarnation) && isString(processId) &&
    isString(instance) && isString(region) && isString(zone);
  if (!isComplete) {
    return makeRefusal("malformed-hello", "The hello lacks a field");
  }
  return {
    type: "accepted",
    peer: { incarnation, processId, instance, region, zone },
  };
}

function makeRefusal(code: string, message: string): HelloResult {
  return { type: "refused", error: buildError(code, message) };
}

/** Compares hashes, because `timingSafeEqual` needs inputs of equal length. */
function isSameToken(given: string, expected: string): boolean {
  const hash = (text: string) => createHash("sha256").update(text).digest();
  return timingSafeEqual(hash(given), hash(expected));
}
