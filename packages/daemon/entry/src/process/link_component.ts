/**
 * Byte permits for the links from this region to other regions.
 *
 * @module
 */

import {
  createPermitHolder,
  createPermitLedger,
} from "@dotterelmoor/core.permitting";
import type { PermitHolder, PermitLedger } from "@dotterelmoor/core.permitting";
import type {
  ConfigurationSnapshot,
  DisposableStore,
} from "@dotterelmoor/core.types";
import type { PeerMessage, PeerPool } from "@dotterelmoor/network.peering";
import type { Clock } from "./clock.ts";
import { startInterval } from "./intervals.ts";
import type { CreateMachine } from "./recording.ts";

const TICK_MS = 50;
const PERMIT_TIMEOUT_MS = 500;
const BITS_PER_BYTE = 8;

/** Options of `createLinkComponent`. */
export interface LinkComponentOptions {
  readonly region: string;
  readonly processId: string;
  readonly clock: Clock;
  readonly peers: PeerPool;
  readonly store: DisposableStore;
  readonly createMachine: CreateMachine;
  /** Finds the peer address of a ledger's owner; `self` for this process. */
  readonly findLedger: (resource: string) => string | "self" | undefined;
}

/** Permits that this process holds and ledgers that it owns. */
export interface LinkComponent {
  setSnapshot(snapshot: ConfigurationSnapshot): void;
  /** Takes bytes of a link's budget, waiting for them if needed. */
  takeBytes(request: LinkBytesRequest): Promise<boolean>;
  /** Opens the ledgers of a link that this process now owns. */
  open(resource: string): void;
  /** Closes the ledgers of a link. */
  close(resource: string): void;
  /** Grants a rate to a holder; undefined if the ledger is not owned here. */
  grantPermit(request: LedgerRequest): number | undefined;
}

/** Bytes that a service wants to send to another region. */
export interface LinkBytesRequest {
  readonly to: string;
  readonly service: string;
  readonly bytes: number;
  /** Monotonic time until which to wait for the bytes. */
  readonly untilMs: number;
}

/** A holder's request to a ledger. */
export interface LedgerRequest {
  readonly from: string;
  readonly to: string;
  readonly service: string;
  readonly holder: string;
  readonly requestId: number;
  readonly demand: number;
}

/** Share of a service in the budget of a link. */
interface LinkShare {
  readonly to: string;
  readonly service: string;
  /** Bytes per second. */
  readonly budget: number;
  readonly holder: PermitHolder;
  readonly ledger: PermitLedger;
}

/** Builds the table key of a link's ledger. */
export function buildLinkKey(from: string, to: string): string {
  return `links/${from}/${to}`;
}

/** Creates the permits of this process. */
export function createLinkComponent(
  options: LinkComponentOptions,
): LinkComponent {
  const { clock, region } = options;
  const shares = new Map<string, LinkShare>();
  const openLedgers = new Set<string>();

  function setSnapshot(snapshot: ConfigurationSnapshot): void {
    const wanted = listShares(snapshot, region);
    for (const { to, service, budget } of wanted) {
      const key = makeShareKey(to, service);
      if (shares.get(key)?.budget === budget) continue;
      const { holder, ledger } = createPermits(key, budget);
      if (openLedgers.has(buildLinkKey(region, to))) {
        ledger.handle({ type: "open" }, clock.nowMs());
      }
      shares.set(key, { to, service, budget, holder, ledger });
    }
    const keys = new Set(
      wanted.map(({ to, service }) => makeShareKey(to, service)),
    );
    for (const key of shares.keys()) if (!keys.has(key)) shares.delete(key);
  }

  function createPermits(
    instance: string,
    budgetBytesPerSecond: number,
  ): Pick<LinkShare, "holder" | "ledger"> {
    const source = { instance, options: { budgetBytesPerSecond } };
    const ledger = options.createMachine({
      ...source,
      module: "permitting/ledger",
      create: createPermitLedger,
    });
    const holder = options.createMachine({
      ...source,
      module: "permitting/holder",
      create: createPermitHolder,
      calls: ["take", "waitMs"],
    });
    return { holder, ledger };
  }

  function grantPermit(request: LedgerRequest): number | undefined {
    const share = shares.get(makeShareKey(request.to, request.service));
    const owned =
      options.findLedger(buildLinkKey(request.from, request.to)) === "self";
    if (share === undefined || !owned) return undefined;
    const { holder, requestId, demand } = request;
    const grants = share.ledger.handle(
      { type: "request", holder, requestId, demand },
      clock.nowMs(),
    );
    return grants.find((grant) => grant.holder === holder)?.rate ?? 0;
  }

  async function requestPermit(
    request: LedgerRequest,
  ): Promise<number | undefined> {
    const ledger = options.findLedger(buildLinkKey(request.from, request.to));
    if (ledger === "self") return grantPermit(request);
    if (ledger === undefined) return undefined;
    const result = await options.peers.call(
      ledger,
      { type: "permit", ...request },
      { timeoutMs: PERMIT_TIMEOUT_MS },
    );
    return result.type === "answered" ? readRate(result.message) : undefined;
  }

  function tickShare({ to, service, holder, ledger }: LinkShare): void {
    const nowMs = clock.nowMs();
    ledger.handle({ type: "tick" }, nowMs);
    for (
      const { requestId, demand } of holder.handle({ type: "tick" }, nowMs)
    ) {
      const request = {
        from: region,
        to,
        service,
        holder: options.processId,
        requestId,
        demand,
      };
      requestPermit(request).then((rate) => {
        if (rate === undefined) return;
        holder.handle({ type: "granted", requestId, rate }, clock.nowMs());
      });
    }
  }

  function setLedgerState(resource: string, type: "open" | "close"): void {
    if (type === "open") openLedgers.add(resource);
    else openLedgers.delete(resource);
    for (const { to, ledger } of shares.values()) {
      if (buildLinkKey(region, to) !== resource) continue;
      ledger.handle({ type }, clock.nowMs());
    }
  }

  startInterval(options.store, TICK_MS, () => {
    for (const share of shares.values()) tickShare(share);
  });
  return {
    setSnapshot,
    grantPermit,
    takeBytes: (request) =>
      waitForBytes(
        () => shares.get(makeShareKey(request.to, request.service))?.holder,
        {
          ...request,
          clock,
        },
      ),
    open: (resource) => setLedgerState(resource, "open"),
    close: (resource) => setLedgerState(resource, "close"),
  };
}

function makeShareKey(to: string, service: string): string {
  return `${to}/${service}`;
}

/** Lists the shares of all services in the links from a region. */
function listShares(
  snapshot: ConfigurationSnapshot,
  region: string,
): Pick<LinkShare, "budget" | "service" | "to">[] {
  const services = Object.values(snapshot.teams)
    .flatMap((team) => team.services);
  return snapshot.platform.links
    .filter((link) => link.from === region)
    .flatMap(({ to, bitsPerSecond }) =>
      services.map(({ name, linkShare }) => ({
        to,
        service: name,
        budget: bitsPerSecond / BITS_PER_BYTE * linkShare,
      }))
    );
}

interface BytesWaitOptions extends LinkBytesRequest {
  readonly clock: Clock;
}

/** Takes bytes as soon as the permit allows; false after `untilMs`. */
async function waitForBytes(
  findHolder: () => PermitHolder | undefined,
  { bytes, untilMs, clock }: BytesWaitOptions,
): Promise<boolean> {
  for (;;) {
    const holder = findHolder();
    const nowMs = clock.nowMs();
    if (holder === undefined) return false;
    if (holder.take(bytes, nowMs)) return true;
    const waitMs = Math.max(holder.waitMs(bytes, nowMs), 1);
    const pauseMs = Math.min(waitMs, TICK_MS);
    if (nowMs + pauseMs > untilMs) return false;
    await new Promise((resolve) => setTimeout(resolve, pauseMs));
  }
}

function readRate(message: PeerMessage): number | undefined {
  return message.type === "permit_result" && message.granted
    ? message.rate
    : undefined;
}
