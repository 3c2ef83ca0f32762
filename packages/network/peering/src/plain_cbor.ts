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
interface Head {
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
  const open = [1];
  let at = 0;
  while (open.length > 0) {
    const last = open.length - 1;
    if (open[last] === 0) {
      open.pop();
      continue;
    }
    open[last]! -= 1;
    const head = readHead(bytes, at);
    if (head === undefined || !isPlainHead(head)) return false;
    const { major, argument } = head;
    at = head.next;
    if (major === BYTES || major === TEXT) at += argument;
    if (major === ARRAY) open.push(argument);
    if (major === MAP) open.push(2 * argument);
    if (at > bytes.length || open.length > MAX_DEPTH) return false;
  }
  return at === bytes.length;
}

function readHead(bytes: Buffer, at: number): Head | undefined {
  const first = bytes[at];
  if (first === undefined) return undefined;
  const major = first >> 5;
  const info = first & 31;
  if (info < 24) return { major, info, argument: info, next: at + 1 };
  // 28 to 30 are reserved; 31 marks an item of indefinite length.
  if (info > 27) return undefined;
  const width = 1 << (info - 24);
  const next = at + 1 + width;
  if (next > bytes.length) return undefined;
  const argument = width === 8
    ? bytes.readUInt32BE(at + 1) * 2 ** 32 + bytes.readUInt32BE(at + 5)
    : bytes.readUIntBE(at + 1, width);
  return { major, info, argument, next };
}

function isPlainHead({ major, info }: Head): boolean {
  if (major === TAG) return false;
  // 20 to 23 are false, true, null and undefined; 25 to 27 are floats.
  return major !== SIMPLE || (info >= 20 && info !== 24);
}
