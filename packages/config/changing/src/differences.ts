/**
 * Describes differences between two JSON values.
 *
 * @module
 */

/** Lines kept of one description, so that audit rows stay small. */
const MAX_LINES = 100;

/** Longest rendering of one value. */
const MAX_VALUE_LENGTH = 120;

/**
 * Describes what differs, one line for each value, such as
 * `services[availdesk].shift.cap: 60 -> 80`. Lists of maps are matched by
 * `name`, so that an inserted entry is one difference.
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
  const [old, now] = [listEntries(before), listEntries(after)];
  if (old === undefined || now === undefined) {
    if (JSON.stringify(before) === JSON.stringify(after)) return;
    const place = path === "" ? "document" : path;
    lines.push(`${place}: ${renderValue(before)} -> ${renderValue(after)}`);
    return;
  }
  for (const key of new Set([...old.keys(), ...now.keys()])) {
    compareValues(old.get(key), {
      after: now.get(key),
      path: path === "" ? key.replace(/^\./, "") : `${path}${key}`,
      lines,
    });
  }
}

/** Entries by path part; undefined when the value is no map or list of maps. */
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
  const named = names.every((name) => typeof name === "string") &&
    new Set(names).size === names.length && names.length > 0;
  if (!named) return undefined;
  return new Map(value.map((entry, index) => [`[${names[index]}]`, entry]));
}

function renderValue(value: unknown): string {
  if (value === undefined) return "nothing";
  const text = JSON.stringify(value);
  return text.length <= MAX_VALUE_LENGTH
    ? text
    : `${text.slice(0, MAX_VALUE_LENGTH)}...`;
}
