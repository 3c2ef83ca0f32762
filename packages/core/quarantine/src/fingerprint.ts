/**
 * Fingerprint of a request.
 *
 * @module
 */

import { createHash } from "node:crypto";

/** Parts of a request that tell whether it is sent again. */
export interface FingerprintOptions {
  /** Service, or the host that callers name. */
  readonly service: string;
  readonly method: string;
  readonly path: string;
  /** Idempotency key; it takes the place of the body. */
  readonly key?: string;
  readonly body?: Uint8Array;
  /** Address of the caller, where only its own repeats are to be told: another
   * caller's request that is the same otherwise may be harmless. */
  readonly caller?: string;
}

/** Computes the fingerprint of a request: 32 hexadecimal digits. */
export function computeFingerprint(options: FingerprintOptions): string {
  const hash = createHash("sha256");
  const kind = options.key === undefined ? "body" : "key";
  const { service, method, path, caller } = options;
  const parts = [service, method, path, kind];
  // The JSON form keeps the borders between the parts.
  hash.update(
    JSON.stringify(caller === undefined ? parts : [...parts, caller]),
  );
  hash.update(options.key ?? options.body ?? "");
  return hash.digest("hex").slice(0, 32);
}
