/**
 * Fingerprint of a request.
 *
 * @module
 */

import { createHash } from "node:crypto";

/** Parts of a request that tell whether it is sent again. */
export interface FingerprintOptions {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  /** Idempotency key; it takes the place of the body. */
  readonly key?: string;
  readonly body?: Uint8Array;
}

/** Computes the fingerprint of a request: 32 hexadecimal digits. */
export function computeFingerprint(options: FingerprintOptions): string {
  const hash = createHash("sha256");
  const kind = options.key === undefined ? "body" : "key";
  // The JSON form keeps the borders between the parts.
  hash.update(
    JSON.stringify([options.service, options.method, options.path, kind]),
  );
  hash.update(options.key ?? options.body ?? "");
  return hash.digest("hex").slice(0, 32);
}
