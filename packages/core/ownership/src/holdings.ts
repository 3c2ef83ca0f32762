/**
 * Resources that this process holds, and the end of its authority over them.
 *
 * @module
 */

import type { ResourceRow } from "./rows.ts";

/** A held resource. */
export interface Holding {
  readonly resource: string;
  row: ResourceRow;
  version: number;
  /** Time until which the last read of the own row is valid. */
  confirmedUntilMs: number;
  /**
   * Deputies that the row may name: the last confirmed one and those of writes
   * that may still take effect. Promises count only if all of them gave one.
   */
  deputies: Set<number>;
  /** End of the last promise of each deputy. */
  readonly promises: Map<number, number>;
  /** True while a change of deputy is in flight. */
  writing: boolean;
  /** Time of the next promise request, 0 if none was sent. */
  nextRequestMs: number;
  handingOver: boolean;
  /** Incarnation that rebalancing chose as successor, 0 if there is none. */
  target: number;
}

/** Creates a holding from a row that names this process as owner. */
export function makeHolding(
  resource: string,
  row: ResourceRow,
  state: { readonly version: number; readonly confirmedUntilMs: number },
): Holding {
  return {
    resource,
    row,
    ...state,
    deputies: new Set([row.deputy]),
    promises: new Map(),
    writing: false,
    nextRequestMs: 0,
    handingOver: false,
    target: 0,
  };
}

/** Computes the end of the authority that the store confirms. */
export function computeStoreAuthority(
  holding: Holding,
  leaseUntilMs: number,
): number {
  return Math.min(holding.confirmedUntilMs, leaseUntilMs);
}

/** Computes the end of the authority that promises give, 0 if there is none. */
export function computePromisedAuthority(holding: Holding): number {
  const ends = [...holding.deputies].map((deputy) =>
    deputy === 0 ? 0 : holding.promises.get(deputy) ?? 0
  );
  return Math.min(...ends);
}

/** Computes the end of the authority from the store or from promises. */
export function computeAuthority(
  holding: Holding,
  leaseUntilMs: number,
): number {
  return Math.max(
    computeStoreAuthority(holding, leaseUntilMs),
    computePromisedAuthority(holding),
  );
}
