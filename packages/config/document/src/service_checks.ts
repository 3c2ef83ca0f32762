/**
 * Checks within a team's document that involve several values. They also run on
 * values that do not match the schema, so that all errors are reported at once.
 *
 * @module
 */
import {
  describeValue,
  findDuplicates,
  getValueAt,
  listRecords,
  listStrings,
} from "./finding.ts";
import type { Finding, ValuePath } from "./finding.ts";

/** Name of the platform's document, which no team may use. */
const RESERVED_TEAM = "platform";

/** Finds errors that involve several values of a team's document. */
export function findServiceErrors(root: unknown): Finding[] {
  const services = listRecords(getValueAt(root, ["services"]));
  const names = services.flatMap(({ index, record }) =>
    typeof record.name === "string"
      ? [{ path: ["services", index, "name"], text: record.name }]
      : []
  );
  return [
    ...findReservedTeam(getValueAt(root, ["team"])),
    ...findDuplicates(names, "service name"),
    ...services.flatMap(({ index, record }) => {
      const path = ["services", index];
      return [
        ...findRegionErrors(record, path),
        ...findKindErrors(record, path),
      ];
    }),
  ];
}

function findReservedTeam(team: unknown): Finding[] {
  if (team !== RESERVED_TEAM) return [];
  return [{
    code: "value-invalid",
    path: ["team"],
    found: describeValue(team),
    expected: "a name other than platform",
    hint: "This name is reserved for the platform's document; choose another",
  }];
}

function findRegionErrors(
  service: Record<string, unknown>,
  path: ValuePath,
): Finding[] {
  const regions = listStrings(service.regions);
  const { concurrency } = service;
  const findings = findDuplicates(
    regions.map(({ index, text }) => ({
      path: [...path, "regions", index],
      text,
    })),
    "region",
  );
  if (
    typeof concurrency !== "object" || concurrency === null ||
    regions.length === 0
  ) return findings;
  const listedRegions = new Set(regions.map(({ text }) => text));
  for (const region of listedRegions) {
    if (Object.hasOwn(concurrency, region)) continue;
    findings.push({
      code: "key-missing",
      path: [...path, "concurrency", region],
      found: "nothing",
      expected: `a concurrency for region ${region}`,
      hint: `Add ${region} to concurrency or remove it from regions`,
    });
  }
  for (const region of Object.keys(concurrency)) {
    if (listedRegions.has(region)) continue;
    findings.push({
      code: "region-unknown",
      path: [...path, "concurrency", region],
      found: `region ${region}`,
      expected: "only regions that the service lists",
      hint: `Add ${region} to regions or remove it from concurrency`,
      atKey: true,
    });
  }
  return findings;
}

function findKindErrors(
  service: Record<string, unknown>,
  path: ValuePath,
): Finding[] {
  const kinds = listRecords(service.kinds);
  const makeKindPath = (index: number) => [...path, "kinds", index];
  const names = kinds.flatMap(({ index, record }) =>
    typeof record.name === "string"
      ? [{ path: [...makeKindPath(index), "name"], text: record.name }]
      : []
  );
  const routes = kinds.flatMap(({ index, record }) =>
    listStrings(record.methods).map((method) => ({
      path: [...makeKindPath(index), "methods", method.index],
      text: `${method.text} ${String(record.pathPrefix)}`,
    }))
  );
  const kindsWithoutKeyHeader = kinds.filter(({ record }) =>
    record.repeatable === false && record.keyHeader === undefined
  );
  return [
    ...findDuplicates(names, "kind"),
    ...findDuplicates(routes, "method with this path prefix"),
    ...kindsWithoutKeyHeader.map(({ index }): Finding => ({
      code: "key-missing",
      path: [...makeKindPath(index), "keyHeader"],
      found: "nothing",
      expected: "a header name, because repeatable is false",
      hint: "Name the header that carries the idempotency key",
    })),
  ];
}
