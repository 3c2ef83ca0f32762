/**
 * Fingerprints that identify repeated requests.
 *
 * @module
 */

import { createHash } from "node:crypto";

/** The parts of a request that its fingerprint covers. */
export interface FingerprintOptions {
  /** Service, or the host name that the caller addressed. */
  readonly service: string;
  readonly method: string;
  readonly path: string;
  /** Idempotency key; if set, the body is not part of the fingerprint. */
  readonly key?: string;
  /** The body: whole, or its parts in order. */
  readonly body?: Uint8Array | readonly Uint8Array[];
  /**
   * Address of the caller. Set it to match only repeats by the same caller: an
   * otherwise equal request of another caller may be harmless.
   */
  readonly caller?: string;
}

/** Computes the fingerprint of a request, 32 hexadecimal digits. */
export function computeFingerprint(options: FingerprintOptions): string {
  const hash = createHash("sha256");
  const kind = options.key === undefined ? "body" : "key";
  const { service, method, path, caller } = options;
  const parts = [service, method, path, kind];
  // JSON keeps the parts separate: ("ab", "c") must not equal ("a", "bc").
  hash.update(
    JSON.stringify(caller === undefined ? parts : [...parts, caller]),
  );
  const content = options.key ?? options.body ?? "";
  const isWhole = typeof content === "string" || content instanceof Uint8Array;
  for (const part of isWhole ? [content] : content) hash.update(part);
  return hash.digest("hex").slice(0, 32);
}
