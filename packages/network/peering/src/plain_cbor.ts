/**
 * Checks that a payload contains only plain data before it is decoded.
 *
 * @module
 */

/** Maximum nesting; configurations have about 8 levels. */
const MAX_DEPTH = 64;

// Major types of CBOR items.
const BYTES = 2;
const TEXT = 3;
const ARRAY = 4;
const MAP = 5;
const TAG = 6;
const SIMPLE = 7;

/** Initial byte and argument of an item, and the offset after them. */
interface ItemHeader {
  readonly major: number;
  readonly info: number;
  readonly argument: number;
  readonly next: number;
}

/**
 * Returns whether the bytes are exactly one CBOR item that consists of maps,
 * arrays, strings, bytes, numbers and simple values. Tags are rejected, because
 * decoders give some of them effects of their own, such as cyclic references.
 */
export function isPlainCbor(bytes: Buffer): boolean {
  /** Number of items left to read, by nesting level. */
  const remaining = [1];
  let offset = 0;
  while (remaining.length > 0) {
    const level = remaining.length - 1;
    if (remaining[level] === 0) {
      remaining.pop();
      continue;
    }
    remaining[level]! -= 1;
    const header = readHeader(bytes, offset);
    if (header === undefined || !isPlainHeader(header)) return false;
    const { major, argument } = header;
    offset = header.next;
    if (major === BYTES || major === TEXT) offset += argument;
    if (major === ARRAY) remaining.push(argument);
    if (major === MAP) remaining.push(2 * argument);
    if (offset > bytes.length || remaining.length > MAX_DEPTH) return false;
  }
  return offset === bytes.length;
}

function readHeader(bytes: Buffer, offset: number): ItemHeader | undefined {
  const first = bytes[offset];
  if (first === undefined) return undefined;
  const major = first >> 5;
  const info = first & 31;
  if (info < 24) return { major, info, argument: info, next: offset + 1 };
  // 28 to 30 are reserved; 31 marks an item of indefinite length.
  if (info > 27) return undefined;
  const width = 1 << (info - 24);
  const next = offset + 1 + width;
  if (next > bytes.length) return undefined;
  const argument = width === 8
    ? bytes.readUInt32BE(offset + 1) * 2 ** 32 + bytes.readUInt32BE(offset + 5)
    : bytes.readUIntBE(offset + 1, width);
  return { major, info, argument, next };
}

function isPlainHeader({ major, info }: ItemHeader): boolean {
  if (major === TAG) return false;
  // 20 to 23 are false, true, null and undefined; 25 to 27 are floats.
  return major !== SIMPLE || (info >= 20 && info !== 24);
}
