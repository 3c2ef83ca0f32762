/**
 * Byte permits on the links that leave this region.
 *
 * @module
 */

import {
  createPermitHolder,
  createPermitLedger,
} from "@dotterelmoor/core.permitting";
import type { PermitHolder, PermitLedger } from "@dotterelmoor/core.permitting";
import type { DisposableStore, LinkDocument } from "@dotterelmoor/core.types";
import type { PeerMessage, PeerPool } from "@dotterelmoor/network.peering";
import type { Clock } from "./clock.ts";
import { startInterval } from "./intervals.ts";

const TICK_MS = 50;
const PERMIT_TIMEOUT_MS = 500;
const BITS_PER_BYTE = 8;

/** Options of `createLinkPart`. */
export interface LinkPartOptions {
  readonly region: string;
  readonly processId: string;
  readonly clock: Clock;
  readonly peers: PeerPool;
  readonly store: DisposableStore;
  /** Peer address of the ledger's owner; `self` if it is this process. */
  readonly findLedger: (resource: string) => string | "self" | undefined;
}

/** Permits of this process and ledgers that it owns. */
export interface LinkPart {
  update(links: readonly LinkDocument[]): void;
  /** Takes bytes for a link now, or waits for them until a time. */
  takeBytes(to: string, bytes: number, untilMs: number): Promise<boolean>;
  open(resource: string): void;
  close(resource: string): void;
  /** Grants a rate to a holder; undefined if the ledger is not owned here. */
  grantPermit(request: PermitAsk): number | undefined;
}

/** A holder's request to a ledger. */
export interface PermitAsk {
  readonly from: string;
  readonly to: string;
  readonly holder: string;
  readonly requestId: number;
  readonly demand: number;
}

interface Link {
  readonly budget: number;
  readonly holder: PermitHolder;
  readonly ledger: PermitLedger;
}

/** Builds the table key of a link's ledger. */
export function buildLinkKey(from: string, to: string): string {
  return `links/${from}/${to}`;
}

/** Creates the permits of this process. */
export function createLinkPart(options: LinkPartOptions): LinkPart {
  const { clock, region } = options;
  const links = new Map<string, Link>();
  const openLedgers = new Set<string>();

  function update(documents: readonly LinkDocument[]): void {
    const wanted = documents.filter((link) => link.from === region);
    for (const { to, bitsPerSecond } of wanted) {
      const budget = bitsPerSecond / BITS_PER_BYTE;
      if (links.get(to)?.budget === budget) continue;
      const ledger = createPermitLedger({ budgetBytesPerSecond: budget });
      if (openLedgers.has(buildLinkKey(region, to))) {
        ledger.handle({ type: "open" }, clock.nowMs());
      }
      const holder = createPermitHolder({ budgetBytesPerSecond: budget });
      links.set(to, { budget, holder, ledger });
    }
    for (const to of links.keys()) {
      if (!wanted.some((link) => link.to === to)) links.delete(to);
    }
  }

  function grantPermit(ask: PermitAsk): number | undefined {
    const link = links.get(ask.to);
    const resource = buildLinkKey(ask.from, ask.to);
    const owned = options.findLedger(resource) === "self";
    if (link === undefined || !owned) return undefined;
    const grants = link.ledger.handle({
      type: "request",
      holder: ask.holder,
      requestId: ask.requestId,
      demand: ask.demand,
    }, clock.nowMs());
    return grants.find((grant) => grant.holder === ask.holder)?.rate ?? 0;
  }

  async function requestPermit(
    to: string,
    requestId: number,
    demand: number,
  ): Promise<number | undefined> {
    const ask = {
      from: region,
      to,
      holder: options.processId,
      requestId,
      demand,
    };
    const ledger = options.findLedger(buildLinkKey(region, to));
    if (ledger === "self") return grantPermit(ask);
    if (ledger === undefined) return undefined;
    const result = await options.peers.call(
      ledger,
      { type: "permit", ...ask },
      { timeoutMs: PERMIT_TIMEOUT_MS },
    );
    return result.type === "answered" ? readRate(result.message) : undefined;
  }

  function tickLink(to: string, link: Link): void {
    const nowMs = clock.nowMs();
    link.ledger.handle({ type: "tick" }, nowMs);
    for (const ask of link.holder.handle({ type: "tick" }, nowMs)) {
      requestPermit(to, ask.requestId, ask.demand).then((rate) => {
        if (rate === undefined) return;
        link.holder.handle(
          { type: "granted", requestId: ask.requestId, rate },
          clock.nowMs(),
        );
      });
    }
  }

  startInterval(options.store, TICK_MS, () => {
    for (const [to, link] of links) tickLink(to, link);
  });

  return {
    update,
    grantPermit,
    takeBytes: async (to, bytes, untilMs) => {
      for (;;) {
        const link = links.get(to);
        const nowMs = clock.nowMs();
        if (link === undefined) return false;
        if (link.holder.take(bytes, nowMs)) return true;
        const pauseMs = Math.min(
          Math.max(link.holder.waitMs(bytes, nowMs), 1),
          TICK_MS,
        );
        if (nowMs + pauseMs > untilMs) return false;
        await new Promise((resolve) => setTimeout(resolve, pauseMs));
      }
    },
    open: (resource) => {
      openLedgers.add(resource);
      for (const [to, link] of links) {
        if (buildLinkKey(region, to) === resource) {
          link.ledger.handle({ type: "open" }, clock.nowMs());
        }
      }
    },
    close: (resource) => {
      openLedgers.delete(resource);
      for (const [to, link] of links) {
        if (buildLinkKey(region, to) === resource) {
          link.ledger.handle({ type: "close" }, clock.nowMs());
        }
      }
    },
  };
}

function readRate(message: PeerMessage): number | undefined {
  return message.type === "permit_result" && message.granted
    ? message.rate
    : undefined;
}
