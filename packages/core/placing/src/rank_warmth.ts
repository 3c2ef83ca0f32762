/**
 * How often the servers of an object's order have it warm.
 *
 * Pattern: an object with more requests than one server carries spills over to
 * the next server of its order, which then keeps it warm as well. How far that
 * goes depends on how many requests servers remember, which is learnt here.
 *
 * @module
 */

/** Warm share of each place in the order before anything is learnt. Places
 * beyond these are taken to be cold: requests reach them too rarely. */
const INITIAL_SHARES: readonly number[] = [1, 0.6, 0.3];

/** Weight of a run; about 50 runs of the region count, less than a second's. */
const RUN_WEIGHT = 0.02;

/** Warm shares of the servers of one region. */
export class RankWarmth {
  readonly #shares: number[];

  /** Starts from shares that another entry learnt, if there are any. */
  constructor(shares: readonly number[] = INITIAL_SHARES) {
    this.#shares = INITIAL_SHARES.map((share, rank) => shares[rank] ?? share);
  }

  get shares(): readonly number[] {
    return this.#shares;
  }

  /** Share of the runs at a place in the order that are warm, 0 to 1. */
  getShare(rank: number): number {
    return this.#shares[rank] ?? 0;
  }

  observe(rank: number, isWarm: boolean): void {
    const share = this.#shares[rank];
    if (share === undefined) return;
    this.#shares[rank] = share + RUN_WEIGHT * ((isWarm ? 1 : 0) - share);
  }
}
