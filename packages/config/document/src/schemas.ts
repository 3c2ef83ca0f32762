/**
 * Schemas of documents. Checks that involve several values are in the modules
 * of checks.
 *
 * @module
 */
import { z } from "zod";

/** Maximum deadline; a longer one would outlast the authority of a group owner. */
export const MAX_DEADLINE_MS = 6_000;

/** Maximum window or drain time; longer ones are probably in a wrong unit. */
const MAX_DURATION_MS = 600_000;

/** Maximum of any count in a document. */
const MAX_COUNT = 1_000_000;

const name = z.string().regex(/^[a-z][a-z0-9-]{0,62}$/, {
  error: "a lower-case name of letters, digits and hyphens",
});
const share = z.number().min(0).max(1);
const positiveShare = z.number().gt(0).max(1);
const count = z.int().min(1).max(MAX_COUNT);
const windowMs = z.int().min(100).max(MAX_DURATION_MS);

const kind = z.strictObject({
  name,
  methods: z.array(
    z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]),
  ).min(1),
  pathPrefix: z.string().regex(/^\/[^\s?#]*$/, {
    error: "a path that starts with / and has no query",
  }),
  repeatable: z.boolean(),
  keyHeader: z.string().regex(/^[a-z0-9-]{1,64}$/, {
    error: "a lower-case header name",
  }).optional(),
  priority: z.enum(["critical", "normal", "background"]),
  deadlineMs: z.int().min(1).max(MAX_DEADLINE_MS),
});

const retry = z.strictObject({
  ratio: share,
  floor: z.int().min(0).max(MAX_COUNT),
  windowMs,
});

const service = z.strictObject({
  name,
  regions: z.array(name).min(1),
  shift: z.strictObject({
    cap: count,
    windowMs,
    startShare: positiveShare,
    stepShare: positiveShare,
  }),
  concurrency: z.record(name, count),
  linkShare: share,
  kinds: z.array(kind).min(1),
  retry: retry.default({ ratio: 0.1, floor: 3, windowMs: 10_000 }),
  drainMs: z.int().min(0).max(MAX_DURATION_MS),
});

/** Schema of a team's document. */
export const teamSchema = z.strictObject({
  team: name,
  services: z.array(service).min(1),
});

/** Schema of the platform's document. */
export const platformSchema = z.strictObject({
  regions: z.array(
    z.strictObject({ name, zones: z.array(name).min(1) }),
  ).min(1),
  links: z.array(
    z.strictObject({
      from: name,
      to: name,
      bitsPerSecond: z.int().min(1),
    }),
  ).default([]),
  clientBlocks: z.array(
    z.strictObject({ block: z.cidrv4(), region: name }),
  ).default([]),
  limits: z.strictObject({
    maxDeadlineMs: z.int().min(1).max(MAX_DEADLINE_MS),
    maxConcurrency: count,
    maxShiftCap: count,
  }),
});
