/**
 * Max-min fair shares of a rate.
 *
 * @module
 */

/**
 * Share of the unused rate that is granted beyond the demands. The rest stays
 * free for a holder that starts to send, which would otherwise wait for permits
 * to lapse.
 */
const SPARE_SHARE = 0.5;

/** Divides a rate by demand and spreads part of the unused rate equally. */
export function computeShares(
  limit: number,
  demands: ReadonlyMap<string, number>,
): Map<string, number> {
  const shares = new Map<string, number>();
  const ascending = [...demands].sort(([, a], [, b]) => a - b);
  let remaining = limit;
  ascending.forEach(([name, demand], index) => {
    const share = Math.min(demand, remaining / (ascending.length - index));
    shares.set(name, share);
    remaining -= share;
  });
  const spare = remaining * SPARE_SHARE / Math.max(1, shares.size);
  for (const [name, share] of shares) shares.set(name, share + spare);
  return shares;
}
