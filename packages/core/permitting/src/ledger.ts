/**
 * Ledger of byte permits on one link.
 *
 * @module
 */

import { GRANTED_SHARE, PERMIT_LIFETIME_MS } from "./limits.ts";
import type {
  PermitGrant,
  PermitLedger,
  PermitLedgerEvent,
  PermitLedgerOptions,
} from "./types.ts";

/** Creates the ledger of one link. */
export function createPermitLedger(options: PermitLedgerOptions): PermitLedger {
  return new Ledger(options.budgetBytesPerSecond * GRANTED_SHARE);
}

interface Permit {
  readonly rate: number;
  readonly endsMs: number;
}

interface Holder {
  /** Permits that the holder may still use, the older ones first. */
  permits: Permit[];
  demand: number;
}

type RequestEvent = Extract<PermitLedgerEvent, { type: "request" }>;

class Ledger implements PermitLedger {
  readonly #total: number;
  readonly #holders = new Map<string, Holder>();
  /** Time from which permits may be granted. */
  #openFromMs = Infinity;

  constructor(total: number) {
    this.#total = total;
  }

  handle(event: PermitLedgerEvent, nowMs: number): PermitGrant[] {
    this.#removeExpired(nowMs);
    switch (event.type) {
      case "open":
        // Permits of an earlier ledger lapse within one lifetime.
        this.#openFromMs = nowMs + PERMIT_LIFETIME_MS;
        return [];
      case "close":
        this.#openFromMs = Infinity;
        return [];
      case "request":
        return [this.#grant(event, nowMs)];
      case "tick":
        return [];
    }
  }

  outstanding(nowMs: number): number {
    this.#removeExpired(nowMs);
    let sum = 0;
    for (const holder of this.#holders.values()) sum += computeUse(holder);
    return sum;
  }

  #grant(event: RequestEvent, nowMs: number): PermitGrant {
    const { holder: name, requestId, demand } = event;
    const grant = (rate: number): PermitGrant => ({
      type: "grant",
      holder: name,
      requestId,
      rate,
    });
    if (nowMs < this.#openFromMs) return grant(0);
    const holder = this.#holders.get(name) ?? { permits: [], demand: 0 };
    const others = this.outstanding(nowMs) - computeUse(holder);
    this.#holders.set(name, holder);
    holder.demand = Math.max(demand, 0);
    const free = Math.max(this.#total - others, 0);
    const rate = Math.min(this.#computeFairRate(holder), free);
    holder.permits.push({ rate, endsMs: nowMs + PERMIT_LIFETIME_MS });
    return grant(rate);
  }

  /** Max-min fair share of a holder among all that have a permit. */
  #computeFairRate(wanted: Holder): number {
    const demands = [...this.#holders.values()]
      .map(({ demand }) => demand)
      .sort((left, right) => left - right);
    let left = this.#total;
    let fair = left;
    for (const [index, demand] of demands.entries()) {
      fair = left / (demands.length - index);
      if (demand > fair) break;
      left -= demand;
    }
    return Math.min(wanted.demand, fair);
  }

  #removeExpired(nowMs: number): void {
    for (const [name, holder] of this.#holders) {
      holder.permits = holder.permits.filter(({ endsMs }) => endsMs > nowMs);
      if (holder.permits.length === 0) this.#holders.delete(name);
    }
  }
}

/**
 * Rate that a holder may use: it can still go by an earlier, higher permit
 * while the answer with the next one is on its way.
 */
function computeUse(holder: Holder): number {
  return holder.permits.reduce((most, { rate }) => Math.max(most, rate), 0);
}
