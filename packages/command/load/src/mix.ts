/**
 * The mix of requests, read from a YAML file.
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
  /** Bytes of the request's body. */
  bodyBytes: z.int().min(0).max(256 * 1024).default(0),
  /** Share of all requests, relative to the other shares. */
  share: z.number().positive().default(1),
  /** `own` makes a new key; `issued` asks for one with each look-up. */
  key: z.enum(["none", "own", "issued"]).default("none"),
  keyHeader: z.string().default("idempotency-key"),
  /** Address of the client; a loopback address is also connected from. */
  client: z.string().optional(),
  /** Label of the client's region in the report. */
  region: z.string().default("any"),
  /** Remaining time that the caller states. */
  deadlineMs: z.int().positive().optional(),
});

const MIX_SCHEMA = z.strictObject({ requests: z.array(REQUEST_SCHEMA).min(1) });

/** One kind of request in the mix. */
export type MixRequest = z.infer<typeof REQUEST_SCHEMA>;

/** All kinds of requests. */
export type Mix = z.infer<typeof MIX_SCHEMA>;

/** Parses and checks a mix; throws with the located faults. */
export function parseMix(text: string): Mix {
  const result = MIX_SCHEMA.safeParse(parse(text));
  if (result.success) return result.data;
  throw new Error(`Cannot use the mix: ${z.prettifyError(result.error)}`);
}
