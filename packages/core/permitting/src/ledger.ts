/**
 * Ledger of byte permits on one link.
 *
 * @module
 */

import { applyEvent, type EventHandlers } from "@dotterelmoor/core.types";
import { GRANTED_SHARE, HOLD_MS } from "./limits.ts";
import { computeShares } from "./shares.ts";
import type {
  PermitGrant,
  PermitLedger,
  PermitLedgerEvent,
  PermitLedgerOptions,
} from "./types.ts";

interface Permit {
  readonly rate: number;
  readonly untilMs: number;
}

interface HolderState {
  demand: number;
  /** Permits of which the holder may be using any one. */
  permits: Permit[];
}

/** Creates the ledger of one link; it grants nothing before `open`. */
export function createPermitLedger(options: PermitLedgerOptions): PermitLedger {
  return new Ledger(options);
}

class Ledger implements PermitLedger {
  readonly #limit: number;
  readonly #holders = new Map<string, HolderState>();
  #opensAtMs = Infinity;

  readonly #handlers: EventHandlers<PermitLedgerEvent, PermitGrant[]> = {
    // Permits of a previous owner's ledger may be in use for one lifetime.
    open: (_event, nowMs) => {
      if (this.#opensAtMs === Infinity) this.#opensAtMs = nowMs + HOLD_MS;
      return [];
    },
    close: () => {
      this.#opensAtMs = Infinity;
      this.#holders.clear();
      return [];
    },
    request: (event, nowMs) => [this.#grant(event, nowMs)],
    tick: () => [],
  };

  constructor(options: PermitLedgerOptions) {
    this.#limit = options.budgetBytesPerSecond * GRANTED_SHARE;
  }

  handle(event: PermitLedgerEvent, nowMs: number): PermitGrant[] {
    this.#expire(nowMs);
    return applyEvent(this.#handlers, event, nowMs);
  }

  computeOutstandingRate(nowMs: number): number {
    this.#expire(nowMs);
    let sum = 0;
    for (const holder of this.#holders.values()) sum += getRate(holder);
    return sum;
  }

  #grant(
    event: Extract<PermitLedgerEvent, { type: "request" }>,
    nowMs: number,
  ): PermitGrant {
    const { holder: name, requestId, demand } = event;
    const grant = { type: "grant", holder: name, requestId } as const;
    if (nowMs < this.#opensAtMs) return { ...grant, rate: 0 };
    const holder = this.#holders.get(name) ?? { demand: 0, permits: [] };
    holder.demand = Math.max(0, demand);
    const demands = new Map(
      [...this.#holders].map(([key, value]) => [key, value.demand]),
    ).set(name, holder.demand);
    const share = computeShares(this.#limit, demands).get(name)!;
    const available = this.#limit - this.computeOutstandingRate(nowMs) +
      getRate(holder);
    const rate = Math.floor(Math.min(share, available));
    // Higher earlier permits still count, because the new one may get lost.
    holder.permits = holder.permits.filter((permit) => permit.rate > rate);
    holder.permits.push({ rate, untilMs: nowMs + HOLD_MS });
    this.#holders.set(name, holder);
    return { ...grant, rate };
  }

  #expire(nowMs: number): void {
    for (const [name, holder] of this.#holders) {
      holder.permits = holder.permits.filter(({ untilMs }) => untilMs > nowMs);
      if (holder.permits.length === 0) this.#holders.delete(name);
    }
  }
}

/** Returns the highest rate that the holder may be using. */
function getRate(holder: HolderState): number {
  return Math.max(0, ...holder.permits.map(({ rate }) => rate));
}
