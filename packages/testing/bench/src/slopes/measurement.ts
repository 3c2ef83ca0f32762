/**
 * Measurements at several sizes and their rendering as a table.
 *
 * @module
 */

import { computeFit } from "./fitting.ts";
import type { Fit, Point } from "./fitting.ts";

/** One quantity measured at several sizes. */
export interface Measurement {
  readonly name: string;
  /** Name of the size, such as "nodes". */
  readonly sizeName: string;
  /** Unit of the values. */
  readonly unit: string;
  readonly points: readonly Point[];
  readonly fit: Fit;
  /** True for wall-clock times, which differ between runs and machines. */
  readonly timed: boolean;
}

/** Options of `toMeasurement`. */
export interface ToMeasurementOptions {
  /** Name of the size, such as "nodes". */
  readonly sizeName: string;
  /** Unit of the values. */
  readonly unit: string;
  /** Scale of the fit; linear by default. */
  readonly scale?: Fit["scale"];
  /** True for wall-clock times; false by default. */
  readonly timed?: boolean;
}

/** Builds a measurement by fitting a line through the points of a quantity. */
export function toMeasurement(
  name: string,
  points: readonly Point[],
  options: ToMeasurementOptions,
): Measurement {
  const { sizeName, unit, scale = "linear", timed = false } = options;
  return {
    name,
    sizeName,
    unit,
    points,
    fit: computeFit(points, scale),
    timed,
  };
}

/** Renders measurements as a text table. */
export function renderMeasurements(
  measurements: readonly Measurement[],
): string {
  const rows = measurements.map((item) => [
    item.name + (item.timed ? " (timed)" : ""),
    item.unit,
    item.points.map(({ size, value }) => `${size}: ${format(value)}`)
      .join("  "),
    `${format(item.fit.intercept)} + ${format(item.fit.slope)} × ` +
    (item.fit.scale === "log2" ? `log2(${item.sizeName})` : item.sizeName),
    item.fit.r2.toFixed(2),
  ]);
  const head = ["quantity", "unit", "measured", "fit", "r2"];
  const widths = head.map((title, column) =>
    Math.max(title.length, ...rows.map((row) => row[column]!.length))
  );
  return [head, ...rows]
    .map((row) =>
      row.map((cell, column) => cell.padEnd(widths[column]!)).join("  ")
        .trimEnd()
    )
    .join("\n");
}

function format(value: number): string {
  if (value === 0) return "0";
  const size = Math.abs(value);
  if (size >= 1_000) return String(Math.round(value));
  return size >= 0.01
    ? String(Number(value.toPrecision(4)))
    : value.toExponential(2);
}
