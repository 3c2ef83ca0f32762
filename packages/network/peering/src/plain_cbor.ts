/**
 * Checks that a payload is plain data before it is decoded.
 *
 * @module
 */

/** Configurations nest about 8 levels deep. */
const MAX_DEPTH = 64;

const BYTES = 2;
const TEXT = 3;
const ARRAY = 4;
const MAP = 5;
const TAG = 6;
const SIMPLE = 7;

/** First byte of an item with its argument, and where the next byte is. */
interface Head {
  readonly major: number;
  readonly info: number;
  readonly argument: number;
  readonly next: number;
}

/**
 * Tells whether bytes are one whole cbor item of maps, arrays, strings, bytes,
 * numbers and simple values. Tags are refused, because decoders give some of
 * them effects of their own, such as cyclic references.
 */
export function isPlainCbor(bytes: Buffer): boolean {
  /** Items that are still to come, by level. */
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
  // Above 27 are lengths that only a later break ends, and reserved codes.
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
  // False, true, null and undefined are 20 to 23; floats are 25 to 27.
  return major !== SIMPLE || (info >= 20 && info !== 24);
}
