/**
 * Answers callers' lookups of entries, and readiness checks.
 *
 * @module
 */

import { createServer } from "node:http";
import type { RequestListener, Server } from "node:http";
import type { Membership, MemberUpdate } from "@dotterelmoor/core.membership";
import type { DisposableStore, Random } from "@dotterelmoor/core.types";
import type { CallerProtocol, ListenAddress, LookupQuery } from "../ports.ts";
import type { EdgeLog } from "./logging.ts";
import type { EdgeMetrics } from "./metrics.ts";

/** Time in seconds for which callers may cache an answer: short, so that they
 * soon leave an entry that shuts down, but longer than most of their pauses. */
const TTL_S = 2;

/** Largest number of entries in one answer; callers use up to 64. */
const MAX_ADDRESSES = 16;

/** Options of `createLookupListener`. */
export interface LookupOptions {
  readonly membership: Membership;
  readonly protocol: CallerProtocol;
  readonly random: Random;
  /** Longest time in seconds for which callers may cache an answer. */
  readonly maxTtlS: number;
  /** Region of this entry. */
  readonly region: string;
  readonly log: EdgeLog;
  readonly metrics: EdgeMetrics;
}

/** Region of the entries in an answer, relative to this entry and the
 * caller. */
type LookupSource = "own-region" | "callers-region" | "elsewhere" | "none";

/** The part of membership that lookups use. */
export type LookupMembership = Pick<
  Membership,
  "liveMembers" | "regionState" | "rememberedMembers"
>;

/** Creates the request listener that answers lookups; 404 for other paths. */
export function createLookupListener(options: LookupOptions): RequestListener {
  const { protocol, membership, random } = options;
  const ttlS = Math.min(TTL_S, options.maxTtlS);
  return (request, response) => {
    const url = parseTarget(request.url ?? "/");
    if (url?.pathname !== protocol.lookupPath) {
      response.writeHead(404).end();
      return;
    }
    const query = protocol.readLookup(url.searchParams);
    const entries = findEntries(membership, query);
    shuffle(entries, random);
    const selected = entries.slice(0, MAX_ADDRESSES);
    recordLookup(selected, { query, options });
    const body = protocol.renderLookup(
      selected.map(({ callerAddress }) => callerAddress),
      ttlS,
    );
    response.writeHead(200, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(body),
    });
    response.end(body);
  };
}

/** Parses the target of a request; undefined if it is no path and no URL, which
 * the HTTP parser lets through. */
function parseTarget(target: string): URL | undefined {
  const base = "http://lookup";
  return URL.canParse(target, base) ? new URL(target, base) : undefined;
}

/**
 * Finds the entries to return to a caller.
 *
 * These are the live entries of the caller's region, or of any region if the
 * caller's is lost. While the region may be live, but none of its entries has
 * been heard of lately, the entries known from before are returned. If there
 * are none, the answer is empty: the caller then asks the next entry and is not
 * sent out of its region.
 */
export function findEntries(
  membership: LookupMembership,
  { region }: LookupQuery,
): MemberUpdate[] {
  const regional = membership.liveMembers(region);
  if (regional.length > 0) return chooseAlive(regional);
  return membership.regionState(region) === "lost"
    ? chooseAlive(membership.liveMembers())
    : [...membership.rememberedMembers(region)];
}

/**
 * Leaves out suspect members if any others are alive: omitting a live entry for
 * a moment costs callers less than connecting to a dead one.
 */
function chooseAlive(members: readonly MemberUpdate[]): MemberUpdate[] {
  const alive = members.filter(({ state }) => state === "alive");
  return alive.length > 0 ? alive : [...members];
}

function recordLookup(
  selected: readonly MemberUpdate[],
  { query, options }: {
    readonly query: LookupQuery;
    readonly options: LookupOptions;
  },
): void {
  const { membership, region, log, metrics } = options;
  const isCallersRegion = selected.every((member) =>
    member.region === query.region
  );
  const source: LookupSource = selected.length === 0
    ? "none"
    : !isCallersRegion
    ? "elsewhere"
    : query.region === region
    ? "own-region"
    : "callers-region";
  metrics.lookups.inc({ source });
  if (source === "own-region") return;
  log.decide("Look-up of another region.", {
    query,
    source,
    state: membership.regionState(query.region),
    named: countRegions(selected),
    known: countRegions(membership.liveMembers()),
  }, "lookup");
}

function countRegions(
  members: readonly MemberUpdate[],
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { region } of members) counts[region] = (counts[region] ?? 0) + 1;
  return counts;
}

/** Creates the request listener for readiness checks: 200 if this entry may
 * receive callers, 503 if not, 404 for other paths. */
export function createReadyListener(
  protocol: CallerProtocol,
  isReady: () => boolean,
): RequestListener {
  return (request, response) => {
    const isReadyPath = request.url === protocol.readyPath;
    response.writeHead(!isReadyPath ? 404 : isReady() ? 200 : 503, {
      "content-length": 0,
    });
    response.end();
  };
}

/** Listens on an address until the store is disposed of; rejects if that
 * fails. */
export async function listen(
  { host, port }: ListenAddress,
  server: Server | RequestListener,
  store: DisposableStore,
): Promise<Server> {
  const listening = typeof server === "function"
    ? createServer(server)
    : server;
  await new Promise<void>((resolve, reject) => {
    listening.once("error", reject);
    listening.listen(port, host, 1_024, resolve);
  });
  store.add(() => {
    listening.closeAllConnections();
    listening.close();
  });
  return listening;
}

function shuffle<Item>(items: Item[], random: Random): void {
  for (let index = items.length - 1; index > 0; index--) {
    const other = Math.floor(random() * (index + 1));
    [items[index], items[other]] = [items[other]!, items[index]!];
  }
}
