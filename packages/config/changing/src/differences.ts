/**
 * Describes differences between two JSON values.
 *
 * @module
 */

/** Maximum lines in a description; keeps audit rows small. */
const MAX_LINES = 100;

/** Maximum length of a rendered value, in characters. */
const MAX_VALUE_LENGTH = 120;

/**
 * Describes the differences, one line per value, such as
 * `services[availdesk].shift.cap: 60 -> 80`. Elements of lists of maps are
 * matched by `name`, so that an inserted element shows as one difference. At
 * most 100 lines are returned; the last one then counts the omitted ones.
 */
export function describeDifferences(
  before: unknown,
  after: unknown,
): string[] {
  const lines: string[] = [];
  compareValues(before, { after, path: "", lines });
  if (lines.length <= MAX_LINES) return lines;
  const rest = lines.length - MAX_LINES + 1;
  return [...lines.slice(0, MAX_LINES - 1), `and ${rest} more differences`];
}

interface Comparison {
  readonly after: unknown;
  readonly path: string;
  readonly lines: string[];
}

function compareValues(before: unknown, comparison: Comparison): void {
  const { after, path, lines } = comparison;
  const [beforeEntries, afterEntries] = [
    listEntries(before),
    listEntries(after),
  ];
  if (beforeEntries === undefined || afterEntries === undefined) {
    if (JSON.stringify(before) === JSON.stringify(after)) return;
    const label = path === "" ? "document" : path;
    lines.push(`${label}: ${renderValue(before)} -> ${renderValue(after)}`);
    return;
  }
  for (
    const key of new Set([...beforeEntries.keys(), ...afterEntries.keys()])
  ) {
    compareValues(beforeEntries.get(key), {
      after: afterEntries.get(key),
      path: path === "" ? key.replace(/^\./, "") : `${path}${key}`,
      lines,
    });
  }
}

/**
 * Lists the entries of a map or of a list of uniquely named maps, keyed by path
 * segment; undefined for any other value.
 */
function listEntries(value: unknown): Map<string, unknown> | undefined {
  if (typeof value !== "object" || value === null) return undefined;
  if (!Array.isArray(value)) {
    return new Map(
      Object.entries(value).map(([key, inner]) => [`.${key}`, inner]),
    );
  }
  const names = value.map((entry) =>
    (entry as { name?: unknown } | null)?.name
  );
  const hasUniqueNames = names.every((name) => typeof name === "string") &&
    new Set(names).size === names.length && names.length > 0;
  if (!hasUniqueNames) return undefined;
  return new Map(value.map((entry, index) => [`[${names[index]}]`, entry]));
}

function renderValue(value: unknown): string {
  if (value === undefined) return "nothing";
  const text = JSON.stringify(value);
  return text.length <= MAX_VALUE_LENGTH
    ? text
    : `${text.slice(0, MAX_VALUE_LENGTH)}...`;
}
