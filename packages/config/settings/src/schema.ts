/**
 * Schemas of the settings and of the operator tokens file.
 *
 * @module
 */
import { z } from "zod";

/** An IP address or host name, and a port; IPv6 addresses are in brackets. */
const ADDRESS = /^(\[[0-9a-fA-F:.]+\]|[A-Za-z0-9.-]+):(\d{1,5})$/;

/**
 * Parses `host:port`, with the brackets of an IPv6 address removed; undefined if
 * the text is not an address.
 */
export function parseAddress(
  text: string,
): { readonly host: string; readonly port: number } | undefined {
  const match = ADDRESS.exec(text);
  const port = Number(match?.[2]);
  if (!match || port > 65_535) return undefined;
  return { host: match[1]!.replace(/^\[|\]$/g, ""), port };
}

const address = z.string().refine(
  (text) => (parseAddress(text)?.port ?? 0) > 0,
  { error: "host:port with a port from 1 to 65535" },
);

const listenAddress = z.string().refine(
  (text) => parseAddress(text) !== undefined,
  { error: "host:port with a port from 0 to 65535" },
);

const identifier = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/, {
  error: "a name of letters, digits, dots, hyphens and underscores",
});

const name = z.string().regex(/^[a-z][a-z0-9-]{0,62}$/, {
  error: "a lower-case name of letters, digits and hyphens",
});

const listener = z.strictObject({
  listen: listenAddress,
  advertise: address.optional(),
});

/** Schema of the settings, with token files as paths. */
export const settingsSchema = z.strictObject({
  instance: identifier,
  region: name,
  zone: name,
  callers: listener,
  peers: listener,
  operators: listener,
  seeds: z.array(address).default([]),
  platformUrl: z.url({
    protocol: /^https?$/,
    error: "a URL that starts with http:// or https://",
  }),
  metrics: address.optional(),
  peerTokenFile: z.string().min(1),
  operatorTokensFile: z.string().min(1),
  logLevel: z.enum([
    "trace",
    "debug",
    "info",
    "warn",
    "error",
    "fatal",
    "silent",
  ]).default("info"),
  // Coerced, because variables and flags provide strings.
  lookupTtlMs: z.coerce.number<unknown>().int().min(100).max(60_000)
    .default(5_000),
  recordFile: z.string().min(1).optional(),
});

/** Validated settings, with token files as paths. */
export type RawSettings = z.infer<typeof settingsSchema>;

/** Minimum characters of a token; 32 hexadecimal digits hold 128 random bits. */
const MIN_TOKEN_LENGTH = 32;

/** Schema of a token. */
export const tokenSchema = z.string().min(MIN_TOKEN_LENGTH, {
  error: `a token of at least ${MIN_TOKEN_LENGTH} characters`,
}).max(512).regex(/^[\x21-\x7e]+$/, {
  error: "a token of printable characters without spaces",
});

/** Schema of the operator tokens file. */
export const operatorTokensSchema = z.array(z.strictObject({
  name: z.string().min(1).max(100),
  token: tokenSchema,
  teams: z.array(z.union([name, z.literal("*")])).min(1),
  role: z.enum(["viewer", "operator", "admin"]),
}));
