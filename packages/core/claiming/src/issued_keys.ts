/**
 * Idempotency keys that look-ups hand out, deduplicated in memory.
 *
 * @module
 */

import { createHmac, timingSafeEqual } from "node:crypto";
import type { Random } from "@dotterelmoor/core.types";
import type {
  IssuedKeys,
  IssuedKeysOptions,
  KeyUse,
  ParsedKey,
} from "./types.ts";

const PREFIX = "dm1";
const DEFAULT_LIFETIME_MS = 60_000;
const MAC_LENGTH = 32;
const NONCE_PARTS = 4;
const KEY_FORM =
  /^dm1\.([0-9a-zA-Z-]{1,64})\.(\d{1,15})\.([0-9a-f]{32})\.([0-9a-f]{32})$/;

/** Creates the issued keys of one process. */
export function createIssuedKeys(options: IssuedKeysOptions): IssuedKeys {
  const { processId, secret, random } = options;
  const lifetimeMs = options.lifetimeMs ?? DEFAULT_LIFETIME_MS;
  /** Expiry of each used key, in order of use. */
  const used = new Map<string, number>();

  function sign(content: string): string {
    return createHmac("sha256", secret).update(content).digest("hex")
      .slice(0, MAC_LENGTH);
  }

  function removeExpired(nowMs: number): void {
    for (const [key, expiresAtMs] of used) {
      if (expiresAtMs <= nowMs) used.delete(key);
    }
  }

  function use(key: string, nowMs: number): KeyUse {
    const parsed = parseKey(key);
    if (parsed === undefined) return "invalid";
    if (parsed.processId !== processId) return "not-ours";
    const end = key.length - MAC_LENGTH;
    if (!isEqual(sign(key.slice(0, end - 1)), key.slice(end))) return "invalid";
    if (parsed.expiresAtMs <= nowMs) return "expired";
    if (used.has(key)) return "already-used";
    removeExpired(nowMs);
    used.set(key, parsed.expiresAtMs);
    return "used-once";
  }

  return {
    issue: (nowMs) => {
      const expiresAtMs = Math.ceil(nowMs + lifetimeMs);
      const nonce = makeNonce(random);
      const content = `${PREFIX}.${processId}.${expiresAtMs}.${nonce}`;
      return `${content}.${sign(content)}`;
    },
    parse: parseKey,
    use,
    release: (key) => {
      used.delete(key);
    },
    size: () => used.size,
  };
}

function parseKey(key: string): ParsedKey | undefined {
  const match = KEY_FORM.exec(key);
  if (match === null) return undefined;
  return {
    processId: match[1]!,
    expiresAtMs: Number(match[2]),
    nonce: match[3]!,
  };
}

function makeNonce(random: Random): string {
  return Array.from(
    { length: NONCE_PARTS },
    () => Math.floor(random() * 2 ** 32).toString(16).padStart(8, "0"),
  ).join("");
}

function isEqual(left: string, right: string): boolean {
  return timingSafeEqual(Buffer.from(left), Buffer.from(right));
}
