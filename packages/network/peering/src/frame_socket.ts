/**
 * A TCP connection that carries frames.
 *
 * @module
 */

import type { Socket } from "node:net";
import { buildFrameValue } from "./envelope.ts";
import type { Envelope } from "./envelope.ts";
import { decodeFrame, encodeFrame, FrameReader } from "./frames.ts";
import { buildError } from "./hello.ts";
import { MAX_HELLO_BYTES } from "./limits.ts";

/** Time for a rejected peer to read the error and close the connection. */
const CLOSE_TIMEOUT_MS = 500;

/** Callbacks for received frames and the end of the connection. */
export interface FrameSocketEvents {
  /** Receives the decoded value; undefined if it was malformed. */
  onFrame(value: unknown): void;
  onClose(): void;
}

/** A TCP connection that carries frames in both directions. */
export class FrameSocket {
  readonly #socket: Socket;
  readonly #reader = new FrameReader(MAX_HELLO_BYTES);
  readonly #events: FrameSocketEvents;
  readonly #maxFrameBytes: number;

  constructor(
    socket: Socket,
    options: {
      readonly maxFrameBytes: number;
      readonly events: FrameSocketEvents;
    },
  ) {
    this.#socket = socket;
    this.#events = options.events;
    this.#maxFrameBytes = options.maxFrameBytes;
    socket.setNoDelay(true);
    socket.on("error", () => {});
    socket.on("data", (chunk: Buffer) => this.#readChunk(chunk));
    socket.once("close", () => this.#events.onClose());
  }

  get isOpen(): boolean {
    return this.#socket.writable && !this.#socket.destroyed;
  }

  /** Bytes that are buffered but not yet written to the network. */
  get unsentBytes(): number {
    return this.#socket.writableLength;
  }

  /** Accepts frames up to `maxFrameBytes`, once the peer's token is verified. */
  setFullSize(): void {
    this.#reader.maxBytes = this.#maxFrameBytes;
  }

  /** Writes a value as a frame; returns false if no byte was written. */
  sendValue(value: unknown): boolean {
    if (!this.isOpen) return false;
    const frame = encodeFrame(value, this.#maxFrameBytes);
    if (frame === undefined) return false;
    this.#socket.write(frame);
    return true;
  }

  /** Writes an envelope as a frame; returns false if no byte was written. */
  send(envelope: Envelope): boolean {
    return this.sendValue(buildFrameValue(envelope));
  }

  /** Sends an error to the peer, then closes the connection. */
  closeWithError(code: string, message: string): void {
    this.sendValue(buildError(code, message));
    // After a protocol error, further frames are not trustworthy: discard them.
    this.#socket.removeAllListeners("data");
    this.#socket.resume();
    this.#socket.end();
    const timer = setTimeout(() => this.#socket.destroy(), CLOSE_TIMEOUT_MS);
    this.#socket.once("close", () => clearTimeout(timer));
  }

  close(): void {
    this.#socket.destroy();
  }

  #readChunk(chunk: Buffer): void {
    this.#reader.add(chunk);
    try {
      while (this.#socket.listenerCount("data") > 0) {
        const payload = this.#reader.take();
        if (payload === undefined) return;
        this.#events.onFrame(decodeFrame(payload));
      }
    } catch (error) {
      if (!(error instanceof RangeError)) throw error;
      this.closeWithError("frame-too-large", error.message);
    }
  }
}
