/**
 * JSON encoding of trace values, including values that JSON lacks.
 *
 * @module
 */

/** Keys of the objects that represent values without a JSON form. */
const BYTES = "$bytes";
const NUMBER = "$number";
const UNDEFINED = "$undefined";

/**
 * Encodes a value as one line of JSON. Keeps infinite numbers, bytes and
 * undefined array items; omits undefined properties and functions.
 */
export function encodeTraceValue(value: unknown): string {
  return JSON.stringify(value, replaceValue);
}

/** Decodes an encoded value after `JSON.parse`. */
export function decodeTraceValue(value: unknown): unknown {
  if (typeof value !== "object" || value === null) return value;
  if (Array.isArray(value)) return value.map(decodeTraceValue);
  const entries = Object.entries(value);
  if (entries.length === 1) {
    const [name, content] = entries[0]!;
    const decode = DECODERS.get(name);
    if (decode !== undefined) return decode(content);
  }
  return Object.fromEntries(
    entries.map(([name, content]) => [name, decodeTraceValue(content)]),
  );
}

type Decode = (content: unknown) => unknown;

const DECODERS: ReadonlyMap<string, Decode> = new Map<string, Decode>([
  [BYTES, (content) => new Uint8Array(Buffer.from(String(content), "base64"))],
  [NUMBER, (content) => Number(content)],
  [UNDEFINED, () => undefined],
]);

function replaceValue(this: unknown, key: string, value: unknown): unknown {
  // Buffer.toJSON has already converted `value`, so read the original.
  const original = (this as Record<string, unknown>)[key];
  if (original instanceof Uint8Array) {
    return { [BYTES]: Buffer.from(original).toString("base64") };
  }
  if (typeof value === "number" && !Number.isFinite(value)) {
    return { [NUMBER]: String(value) };
  }
  if (value === undefined && Array.isArray(this)) return { [UNDEFINED]: true };
  return value;
}
