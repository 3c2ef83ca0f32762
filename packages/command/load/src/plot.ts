/**
 * Renders a report over time as an SVG plot.
 *
 * @module
 */

import type { IntervalReport } from "./recorder.ts";
import type { RunReport } from "./run.ts";

const WIDTH = 800;
const PANEL_HEIGHT = 160;
const MARGIN = { left: 60, top: 30, right: 20, gap: 40 };

interface Series {
  readonly label: string;
  readonly colour: string;
  /** Returns the value of an interval; null leaves a gap. */
  readonly read: (interval: IntervalReport) => number | null;
}

interface Panel {
  readonly title: string;
  /** Upper end of the scale; computed from the values if absent. */
  readonly scaleMax?: number;
  readonly series: readonly Series[];
}

const PANELS: readonly Panel[] = [
  {
    title: "Latency of answered requests (ms)",
    series: [
      {
        label: "p50",
        colour: "#1f77b4",
        read: ({ answered }) => answered.count > 0 ? answered.p50 : null,
      },
      {
        label: "p99",
        colour: "#d62728",
        read: ({ answered }) => answered.count > 0 ? answered.p99 : null,
      },
    ],
  },
  {
    title: "Minimum headroom (free share)",
    scaleMax: 1,
    series: [{
      label: "headroom",
      colour: "#2ca02c",
      read: ({ minHeadroom }) => minHeadroom,
    }],
  },
  {
    title: "Responses from draining entries (per interval)",
    series: [{
      label: "draining",
      colour: "#9467bd",
      read: ({ draining }) => draining,
    }],
  },
];

/** Renders latency, headroom and draining responses over time as SVG. */
export function renderPlot(report: RunReport): string {
  const height = MARGIN.top + PANELS.length * (PANEL_HEIGHT + MARGIN.gap);
  const panels = PANELS.map((panel, i) =>
    renderPanel(panel, report, MARGIN.top + i * (PANEL_HEIGHT + MARGIN.gap))
  );
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" ` +
    `height="${height}" font-family="sans-serif" font-size="12">`,
    `<rect width="${WIDTH}" height="${height}" fill="white"/>`,
    ...panels,
    "</svg>",
    "",
  ].join("\n");
}

function renderPanel(panel: Panel, report: RunReport, y: number): string {
  const { intervals } = report;
  const values = panel.series.flatMap(({ read }) =>
    intervals.map((interval) => read(interval) ?? 0)
  );
  const scaleMax = panel.scaleMax ?? Math.max(...values, 1);
  const seconds = (intervals.length * report.intervalMs / 1_000).toFixed(0);
  const right = WIDTH - MARGIN.right;
  const bottom = y + PANEL_HEIGHT;
  return [
    `<text x="${MARGIN.left}" y="${y - 8}">${panel.title}</text>`,
    `<path d="M${MARGIN.left} ${y}V${bottom}H${right}" fill="none" ` +
    `stroke="#888"/>`,
    `<text x="${MARGIN.left - 6}" y="${y + 10}" text-anchor="end">` +
    `${formatScale(scaleMax)}</text>`,
    `<text x="${MARGIN.left - 6}" y="${bottom}" text-anchor="end">0</text>`,
    `<text x="${right}" y="${bottom + 16}" text-anchor="end">` +
    `${seconds} s</text>`,
    ...panel.series.map((series, i) =>
      renderSeries(series, intervals, { y, scaleMax, index: i })
    ),
  ].join("\n");
}

function renderSeries(
  series: Series,
  intervals: readonly IntervalReport[],
  position: {
    readonly y: number;
    readonly scaleMax: number;
    readonly index: number;
  },
): string {
  const span = WIDTH - MARGIN.left - MARGIN.right;
  const step = span / Math.max(intervals.length - 1, 1);
  let hasPrevious = false;
  const path = intervals.map((interval, i) => {
    const value = series.read(interval);
    const command = hasPrevious ? "L" : "M";
    hasPrevious = value !== null;
    if (value === null) return "";
    const x = MARGIN.left + i * step;
    const y = position.y + PANEL_HEIGHT * (1 - value / position.scaleMax);
    // The zero-length line makes a point without neighbours visible.
    return `${command}${x.toFixed(1)} ${y.toFixed(1)}h0`;
  }).join("");
  const labelX = WIDTH - MARGIN.right - 80 * (position.index + 1);
  return `<path d="${path}" fill="none" stroke="${series.colour}" ` +
    `stroke-width="1.5" stroke-linecap="round"/>\n` +
    `<text x="${labelX}" y="${position.y - 8}" fill="${series.colour}">` +
    `${series.label}</text>`;
}

function formatScale(value: number): string {
  return value >= 10 ? value.toFixed(0) : value.toFixed(1);
}
