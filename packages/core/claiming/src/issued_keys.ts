/**
 * Idempotency keys issued in lookup answers, deduplicated in memory.
 *
 * @module
 */

import { createHmac, timingSafeEqual } from "node:crypto";
import type {
  IssuedKeys,
  IssuedKeysOptions,
  KeyUse,
  ParsedKey,
} from "./types.ts";

const PREFIX = "dm1";

const DEFAULT_LIFETIME_MS = 60_000;

/** Used keys are forgotten in buckets of keys that expire within this time. */
const BUCKET_MS = 1_000;

/** Creates the issued keys of one process. */
export function createIssuedKeys(options: IssuedKeysOptions): IssuedKeys {
  return new KeyIssuer(options);
}

class KeyIssuer implements IssuedKeys {
  readonly #options: IssuedKeysOptions;
  /** Nonces of used keys by expiry bucket. */
  readonly #used = new Map<number, Set<string>>();
  #issued = 0;

  constructor(options: IssuedKeysOptions) {
    this.#options = options;
  }

  issue(nowMs: number): string {
    const { processId, random, lifetimeMs = DEFAULT_LIFETIME_MS } =
      this.#options;
    const expiresAtMs = Math.floor(nowMs + lifetimeMs);
    // The count makes the nonce unique; the random part hides the count.
    const salt = Math.floor(random() * 2 ** 48).toString(36);
    const nonce = `${(++this.#issued).toString(36)}-${salt}`;
    const text = `${PREFIX}.${processId}.${expiresAtMs}.${nonce}`;
    return `${text}.${this.#sign(text)}`;
  }

  parse(key: string): ParsedKey | undefined {
    const parts = key.split(".");
    const [expiry = "", nonce = "", mac = ""] = parts.slice(-3);
    const processId = parts.slice(1, -3).join(".");
    const isWellFormed = parts[0] === PREFIX && parts.length >= 5 &&
      processId !== "" && /^\d{1,15}$/.test(expiry) && nonce !== "" &&
      mac !== "";
    if (!isWellFormed) return undefined;
    return { processId, expiresAtMs: Number(expiry), nonce };
  }

  use(key: string, nowMs: number): KeyUse {
    const parsed = this.parse(key);
    if (parsed === undefined) return "invalid";
    if (parsed.processId !== this.#options.processId) return "not-ours";
    if (!this.#isSigned(key)) return "invalid";
    this.#expire(nowMs);
    if (parsed.expiresAtMs <= nowMs) return "expired";
    const bucket = getBucket(parsed);
    const nonces = this.#used.get(bucket) ?? new Set();
    if (nonces.has(parsed.nonce)) return "already-used";
    this.#used.set(bucket, nonces.add(parsed.nonce));
    return "used-once";
  }

  release(key: string): void {
    const parsed = this.parse(key);
    if (parsed === undefined || !this.#isSigned(key)) return;
    this.#used.get(getBucket(parsed))?.delete(parsed.nonce);
  }

  size(): number {
    let size = 0;
    for (const nonces of this.#used.values()) size += nonces.size;
    return size;
  }

  #expire(nowMs: number): void {
    for (const bucket of this.#used.keys()) {
      if ((bucket + 1) * BUCKET_MS <= nowMs) this.#used.delete(bucket);
    }
  }

  #isSigned(key: string): boolean {
    const end = key.lastIndexOf(".");
    const actual = Buffer.from(key.slice(end + 1));
    const expected = Buffer.from(this.#sign(key.slice(0, end)));
    return actual.length === expected.length &&
      timingSafeEqual(actual, expected);
  }

  #sign(text: string): string {
    const { secret } = this.#options;
    return createHmac("sha256", secret).update(text).digest("base64url");
  }
}

function getBucket(key: ParsedKey): number {
  return Math.floor(key.expiresAtMs / BUCKET_MS);
}
