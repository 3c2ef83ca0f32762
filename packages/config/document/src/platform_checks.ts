/**
 * Checks of a team's document against the platform's document, and checks
 * within the platform's document. They also run on values that do not match the
 * schema.
 *
 * @module
 */
import type { PlatformDocument, TeamDocument } from "@dotterelmoor/core.types";
import type { DocumentError, DocumentErrorCode } from "./document_error.ts";
import {
  describeValue,
  findDuplicates,
  getValueAt,
  listRecords,
  listStrings,
} from "./finding.ts";
import type { Finding, ValuePath } from "./finding.ts";
import { locateFindings } from "./source.ts";

/** Options of the checks of a parsed document. */
export interface CheckDocumentOptions {
  /** File name to report in errors; defaults to the team's name. */
  readonly file?: string;
  /** Text of the document; errors have no line and column without it. */
  readonly text?: string;
}

/**
 * Checks a team's document for regions that the platform does not have and for
 * values above the platform's limits.
 */
export function checkAgainstPlatform(
  document: TeamDocument,
  platform: PlatformDocument,
  options: CheckDocumentOptions = {},
): DocumentError[] {
  return locateFindings(findPlatformViolations(document, platform), {
    file: document.team,
    ...options,
  });
}

/**
 * Finds unknown regions and values above the platform's limits in a team's
 * document.
 */
export function findPlatformViolations(
  root: unknown,
  platform: PlatformDocument,
): Finding[] {
  const regions = new Set(platform.regions.map((region) => region.name));
  return listRecords(getValueAt(root, ["services"])).flatMap(
    ({ index, record }) => [
      ...findUnknownRegions(record, { path: ["services", index], regions }),
      ...findExceededLimits(record, {
        path: ["services", index],
        limits: platform.limits,
      }),
    ],
  );
}

function findUnknownRegions(
  service: Record<string, unknown>,
  options: { readonly path: ValuePath; readonly regions: Set<string> },
): Finding[] {
  return listStrings(service.regions)
    .filter(({ text }) => !options.regions.has(text))
    .map(({ index, text }) =>
      describeUnknownRegion(text, {
        path: [...options.path, "regions", index],
        regions: options.regions,
      })
    );
}

function describeUnknownRegion(
  region: string,
  options: { readonly path: ValuePath; readonly regions: Set<string> },
): Finding {
  return {
    code: "region-unknown",
    path: options.path,
    found: describeValue(region),
    expected: `one of the regions ${[...options.regions].join(", ")}`,
    hint: "Use a region of the platform's document",
  };
}

type LimitName = keyof PlatformDocument["limits"];

const LIMIT_CODES: Record<LimitName, DocumentErrorCode> = {
  maxConcurrency: "limit-exceeded",
  maxDeadlineMs: "deadline-above-limit",
  maxShiftCap: "limit-exceeded",
};

function findExceededLimits(
  service: Record<string, unknown>,
  options: {
    readonly path: ValuePath;
    readonly limits: PlatformDocument["limits"];
  },
): Finding[] {
  const { path, limits } = options;
  const { concurrency } = service;
  const regions = typeof concurrency === "object" && concurrency !== null
    ? Object.keys(concurrency)
    : [];
  const kinds = listRecords(service.kinds);
  const limitedValues: readonly { subPath: ValuePath; limit: LimitName }[] = [
    { subPath: ["shift", "cap"], limit: "maxShiftCap" },
    ...regions.map((region) => ({
      subPath: ["concurrency", region],
      limit: "maxConcurrency" as const,
    })),
    ...kinds.map(({ index }) => ({
      subPath: ["kinds", index, "deadlineMs"],
      limit: "maxDeadlineMs" as const,
    })),
  ];
  return limitedValues.flatMap(({ subPath, limit }): Finding[] => {
    const value = getValueAt(service, subPath);
    if (typeof value !== "number" || value <= limits[limit]) return [];
    return [{
      code: LIMIT_CODES[limit],
      path: [...path, ...subPath],
      found: describeValue(value),
      expected: `at most ${limits[limit]}, the platform's ${limit}`,
      hint: "Lower the value or ask the platform team to raise the limit",
    }];
  });
}

/** Finds errors that involve several values of the platform's document. */
export function findPlatformDocumentErrors(root: unknown): Finding[] {
  const regions = listRecords(getValueAt(root, ["regions"]));
  const regionNames = new Set(regions.map(({ record }) => String(record.name)));
  const links = listRecords(getValueAt(root, ["links"]));
  const blocks = listRecords(getValueAt(root, ["clientBlocks"]));
  return [
    ...findDuplicates(
      listStringFields(regions, { list: "regions", key: "name" }),
      "region",
    ),
    ...findDuplicates(
      regions.flatMap((region) =>
        listStrings(region.record.zones).map((zone) => ({
          path: ["regions", region.index, "zones", zone.index],
          text: zone.text,
        }))
      ),
      "zone",
    ),
    ...findDuplicates(
      links.map(({ index, record }) => ({
        path: ["links", index],
        text: `${record.from} to ${record.to}`,
      })),
      "link",
    ),
    ...findSelfLinks(links),
    ...findDuplicates(
      listStringFields(blocks, { list: "clientBlocks", key: "block" }),
      "client block",
    ),
    ...[
      ...listStringFields(links, { list: "links", key: "from" }),
      ...listStringFields(links, { list: "links", key: "to" }),
      ...listStringFields(blocks, { list: "clientBlocks", key: "region" }),
    ].filter(({ text }) => !regionNames.has(text)).map(({ path, text }) =>
      describeUnknownRegion(text, { path, regions: regionNames })
    ),
  ];
}

function findSelfLinks(links: ReturnType<typeof listRecords>): Finding[] {
  return links.filter(({ record }) =>
    record.from !== undefined && record.from === record.to
  ).map(({ index, record }): Finding => ({
    code: "value-invalid",
    path: ["links", index, "to"],
    found: describeValue(record.to),
    expected: "a region other than the one in from",
    hint: "Remove the link; traffic within a region needs none",
  }));
}

function listStringFields(
  records: ReturnType<typeof listRecords>,
  options: { readonly list: string; readonly key: string },
): { readonly path: ValuePath; readonly text: string }[] {
  return records.flatMap(({ index, record }) => {
    const text = record[options.key];
    return typeof text === "string"
      ? [{ path: [options.list, index, options.key], text }]
      : [];
  });
}
