/**
 * Least-squares fits of measured points.
 *
 * @module
 */

/** A measured value at one size. */
export interface Point {
  readonly size: number;
  readonly value: number;
}

/** value = intercept + slope × size, with log2(size) on the log2 scale. */
export interface Fit {
  readonly scale: "linear" | "log2";
  readonly slope: number;
  readonly intercept: number;
  /** Coefficient of determination: the share of the variance explained. */
  readonly r2: number;
}

/** Fits a line through at least one point by least squares. */
export function computeFit(
  points: readonly Point[],
  scale: Fit["scale"],
): Fit {
  const xs = points.map(({ size }) =>
    scale === "log2" ? Math.log2(size) : size
  );
  const ys = points.map(({ value }) => value);
  const meanX = computeMean(xs);
  const meanY = computeMean(ys);
  let covariance = 0;
  let varianceX = 0;
  let varianceY = 0;
  for (let n = 0; n < xs.length; n += 1) {
    covariance += (xs[n]! - meanX) * (ys[n]! - meanY);
    varianceX += (xs[n]! - meanX) ** 2;
    varianceY += (ys[n]! - meanY) ** 2;
  }
  const slope = varianceX === 0 ? 0 : covariance / varianceX;
  const r2 = varianceY === 0 ? 1 : slope * covariance / varianceY;
  return { scale, slope, intercept: meanY - slope * meanX, r2 };
}

/** Evaluates a fit at a size, in the unit of the fitted values. */
export function computeFittedValue(fit: Fit, size: number): number {
  const x = fit.scale === "log2" ? Math.log2(size) : size;
  return fit.intercept + fit.slope * x;
}

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
