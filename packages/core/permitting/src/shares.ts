/**
 * Max-min fair shares of a rate.
 *
 * @module
 */

/**
 * Share of the unused rate that is granted beyond the demands. The rest stays
 * free for a holder that starts to send, which would otherwise have to wait until
 * permits lapse.
 */
const SPARE_SHARE = 0.5;

/** Divides a rate by demand and spreads part of the unused rate equally. */
export function computeShares(
  limit: number,
  demands: ReadonlyMap<string, number>,
): Map<string, number> {
  const shares = new Map<string, number>();
  const ascending = [...demands].sort(([, a], [, b]) => a - b);
  let left = limit;
  ascending.forEach(([name, demand], index) => {
    const share = Math.min(demand, left / (ascending.length - index));
    shares.set(name, share);
    left -= share;
  });
  const spare = left * SPARE_SHARE / Math.max(1, shares.size);
  for (const [name, share] of shares) shares.set(name, share + spare);
  return shares;
}
