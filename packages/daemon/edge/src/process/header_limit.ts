/**
 * The limit on the header lines of callers' requests.
 *
 * @module
 */

import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";

/** Bytes that the names and values of a head, with its path, may take in the
 * HTTP parser; the configuration's limit is lower. */
export const MAX_PARSED_BYTES = 128 * 1_024;

/** Bytes of a header line besides its name and value: a colon and the line
 * break. Spaces around the value are not known any more. */
const LINE_OVERHEAD_BYTES = 3;

/** Bytes of the shortest header line, which has a name of one character. */
const MIN_LINE_BYTES = LINE_OVERHEAD_BYTES + 1;

/**
 * Bounds the bytes of header lines by a limit that may change.
 *
 * Node.js also bounds their number: it keeps the first lines of a connection's
 * requests and drops the others without an error. The bound that is set here is
 * above the number of lines that fit into the limit, so a request of which lines
 * were dropped is over the limit.
 */
export class HeaderLimit {
  #maxLines = countMaxLines(MAX_PARSED_BYTES);
  /** Lines that the parsers of connections keep; a connection stays with the
   * bound that it opened with. */
  readonly #keptLines = new WeakMap<Socket, number>();
  #server: Server | undefined;

  /** Bounds the number of lines of a server's requests, before it listens. */
  watch(server: Server): void {
    this.#server = server;
    server.maxHeadersCount = this.#maxLines;
    server.on("connection", (socket: Socket) => {
      this.#keptLines.set(socket, this.#maxLines);
    });
  }

  /** Sets the limit in bytes for which new connections are prepared. */
  set(maxBytes: number): void {
    this.#maxLines = countMaxLines(maxBytes);
    if (this.#server !== undefined) {
      this.#server.maxHeadersCount = this.#maxLines;
    }
  }

  /** Returns true if the header lines of a request take more than `maxBytes`,
   * or if some may have been dropped. */
  isExceeded(
    { rawHeaders, socket }: IncomingMessage,
    maxBytes: number,
  ): boolean {
    const lines = rawHeaders.length / 2;
    const keptLines = this.#keptLines.get(socket) ?? this.#maxLines;
    if (lines >= keptLines) return true;
    const bytes = rawHeaders.reduce((sum, text) => sum + text.length, 0);
    return bytes + LINE_OVERHEAD_BYTES * lines > maxBytes;
  }
}

/** Returns a number of lines that takes more than `maxBytes`. */
function countMaxLines(maxBytes: number): number {
  return Math.floor(Math.min(maxBytes, MAX_PARSED_BYTES) / MIN_LINE_BYTES) + 1;
}
