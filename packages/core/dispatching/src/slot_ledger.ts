/**
 * Counts the used slots of each backend server.
 *
 * @module
 */

import type { DispatchRequest } from "./types.ts";

/** A request that was sent to a server. */
export interface InFlightRequest {
  readonly request: DispatchRequest;
  readonly server: string;
  /** Sends of the request so far, including this one. */
  readonly tries: number;
  readonly sentAtMs: number;
  readonly deadlineMs: number;
  /** Latest time at which the server may still work on the request. */
  readonly slotUntilMs: number;
}

interface HeldSlot {
  readonly flight: InFlightRequest;
  readonly untilMs: number;
}

/**
 * Used slots: those of requests in flight, and those of requests that ended for
 * the caller but may still run on their server.
 */
export class SlotLedger {
  readonly #inFlight = new Map<string, InFlightRequest>();
  readonly #heldSlots = new Set<HeldSlot>();
  readonly #used = new Map<string, number>();
  readonly #exclusive = new Set<string>();

  /** Used slots of the group. */
  get total(): number {
    return this.#inFlight.size + this.#heldSlots.size;
  }

  get(id: string): InFlightRequest | undefined {
    return this.#inFlight.get(id);
  }

  getUsed(server: string): number {
    return this.#used.get(server) ?? 0;
  }

  /** Returns true if an exclusive request uses the server. */
  isExclusive(server: string): boolean {
    return this.#exclusive.has(server);
  }

  add(flight: InFlightRequest): void {
    this.#inFlight.set(flight.request.id, flight);
    this.#used.set(flight.server, this.getUsed(flight.server) + 1);
    if (flight.request.exclusive) this.#exclusive.add(flight.server);
  }

  /** Ends a request and frees its slot. */
  release(id: string): InFlightRequest | undefined {
    const flight = this.#inFlight.get(id);
    if (flight === undefined) return undefined;
    this.#inFlight.delete(id);
    this.#free(flight);
    return flight;
  }

  /** Ends a request but counts its slot as used until the given time. */
  hold(id: string, untilMs: number): InFlightRequest | undefined {
    const flight = this.#inFlight.get(id);
    if (flight === undefined) return undefined;
    this.#inFlight.delete(id);
    this.#heldSlots.add({ flight, untilMs });
    return flight;
  }

  /**
   * Frees the slots whose time has passed. `reported` is true for requests
   * whose end was reported before, and false for those still in flight.
   */
  expire(nowMs: number): { flight: InFlightRequest; reported: boolean }[] {
    const expired: { flight: InFlightRequest; reported: boolean }[] = [];
    for (const hold of this.#heldSlots) {
      if (hold.untilMs > nowMs) continue;
      this.#heldSlots.delete(hold);
      this.#free(hold.flight);
      expired.push({ flight: hold.flight, reported: true });
    }
    for (const [id, flight] of this.#inFlight) {
      if (flight.slotUntilMs > nowMs) continue;
      this.release(id);
      expired.push({ flight, reported: false });
    }
    return expired;
  }

  findNextExpiryMs(): number {
    let next = Infinity;
    for (const hold of this.#heldSlots) next = Math.min(next, hold.untilMs);
    for (const flight of this.#inFlight.values()) {
      next = Math.min(next, flight.slotUntilMs);
    }
    return next;
  }

  #free(flight: InFlightRequest): void {
    const used = this.getUsed(flight.server) - 1;
    if (used > 0) this.#used.set(flight.server, used);
    else this.#used.delete(flight.server);
    if (flight.request.exclusive) this.#exclusive.delete(flight.server);
  }
}
