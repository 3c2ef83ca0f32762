/**
 * Counts the used slots of each backend server.
 *
 * @module
 */

import type { DispatchRequest } from "./types.ts";

/** A request that was sent to a server. */
export interface Flight {
  readonly request: DispatchRequest;
  readonly server: string;
  /** Sends of the request so far, including this one. */
  readonly tries: number;
  readonly sentAtMs: number;
  readonly deadlineMs: number;
  /** Latest time at which the server may still work on the request. */
  readonly slotUntilMs: number;
}

interface Hold {
  readonly flight: Flight;
  readonly untilMs: number;
}

/**
 * Used slots: those of requests in flight, and those of requests that ended for
 * the caller but may still run on their server.
 */
export class SlotLedger {
  readonly #flights = new Map<string, Flight>();
  readonly #holds = new Set<Hold>();
  readonly #used = new Map<string, number>();
  readonly #exclusive = new Set<string>();

  /** Used slots of the group. */
  get total(): number {
    return this.#flights.size + this.#holds.size;
  }

  get(id: string): Flight | undefined {
    return this.#flights.get(id);
  }

  getUsed(server: string): number {
    return this.#used.get(server) ?? 0;
  }

  /** Returns true if an exclusive request uses the server. */
  isExclusive(server: string): boolean {
    return this.#exclusive.has(server);
  }

  add(flight: Flight): void {
    this.#flights.set(flight.request.id, flight);
    this.#used.set(flight.server, this.getUsed(flight.server) + 1);
    if (flight.request.exclusive) this.#exclusive.add(flight.server);
  }

  /** Ends a request and frees its slot. */
  release(id: string): Flight | undefined {
    const flight = this.#flights.get(id);
    if (flight === undefined) return undefined;
    this.#flights.delete(id);
    this.#free(flight);
    return flight;
  }

  /** Ends a request but counts its slot as used until the given time. */
  hold(id: string, untilMs: number): Flight | undefined {
    const flight = this.#flights.get(id);
    if (flight === undefined) return undefined;
    this.#flights.delete(id);
    this.#holds.add({ flight, untilMs });
    return flight;
  }

  /**
   * Frees the slots whose time has passed. `reported` is true for requests whose
   * end was reported before, and false for those still in flight.
   */
  expire(nowMs: number): { flight: Flight; reported: boolean }[] {
    const expired: { flight: Flight; reported: boolean }[] = [];
    for (const hold of this.#holds) {
      if (hold.untilMs > nowMs) continue;
      this.#holds.delete(hold);
      this.#free(hold.flight);
      expired.push({ flight: hold.flight, reported: true });
    }
    for (const [id, flight] of this.#flights) {
      if (flight.slotUntilMs > nowMs) continue;
      this.release(id);
      expired.push({ flight, reported: false });
    }
    return expired;
  }

  nextExpiryMs(): number {
    let next = Infinity;
    for (const hold of this.#holds) next = Math.min(next, hold.untilMs);
    for (const flight of this.#flights.values()) {
      next = Math.min(next, flight.slotUntilMs);
    }
    return next;
  }

  #free(flight: Flight): void {
    const used = this.getUsed(flight.server) - 1;
    if (used > 0) this.#used.set(flight.server, used);
    else this.#used.delete(flight.server);
    if (flight.request.exclusive) this.#exclusive.delete(flight.server);
  }
}
