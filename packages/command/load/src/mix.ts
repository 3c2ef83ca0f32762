/**
 * Parses the request mix from YAML.
 *
 * @module
 */

import { parse } from "yaml";
import { z } from "zod";

const REQUEST_SCHEMA = z.strictObject({
  name: z.string().min(1),
  service: z.string().min(1),
  method: z.string().regex(/^[A-Z]+$/).default("GET"),
  path: z.string().startsWith("/").default("/"),
  /** Size of the request body in bytes. */
  bodyBytes: z.int().min(0).max(256 * 1024).default(0),
  /** Weight of this kind of request relative to the other kinds. */
  share: z.number().positive().default(1),
  /** `own` generates a key; `issued` gets one with a lookup per request. */
  key: z.enum(["none", "own", "issued"]).default("none"),
  keyHeader: z.string().default("idempotency-key"),
  /** Caller's address for lookups; if loopback, also the source address. */
  client: z.string().optional(),
  /** Label of the caller's region in the report. */
  region: z.string().default("any"),
  /** Remaining time that is sent as the caller's deadline. */
  deadlineMs: z.int().positive().optional(),
});

const MIX_SCHEMA = z.strictObject({ requests: z.array(REQUEST_SCHEMA).min(1) });

/** A kind of request in the mix. */
export type MixRequest = z.infer<typeof REQUEST_SCHEMA>;

/** A request mix: all kinds of requests of a run. */
export type Mix = z.infer<typeof MIX_SCHEMA>;

/** Parses and validates a mix; throws if it is invalid, naming the fields. */
export function parseMix(text: string): Mix {
  const result = MIX_SCHEMA.safeParse(parse(text));
  if (result.success) return result.data;
  throw new Error(`Invalid request mix: ${z.prettifyError(result.error)}`);
}
