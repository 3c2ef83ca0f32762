/**
 * Reads callers' request bodies, up to a size limit for each and for all.
 *
 * A large body waits unread until there is room for it; the small ones of other
 * callers go on.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import { BROKEN } from "@dotterelmoor/network.callers";
import type { RequestBody } from "@dotterelmoor/network.backend";
import { startTimeout } from "@dotterelmoor/network.timing";
import type { Timeout } from "@dotterelmoor/network.timing";
import { BodyBudget } from "./body_budget.ts";
import type { BodyClaim } from "./body_budget.ts";
import { BodyParts } from "./body_parts.ts";

/** Largest body that needs no claim. */
const FREE_BYTES = 16 * 1_024;

/** Largest body that counts as small. */
const SMALL_BYTES = 256 * 1_024;

/** Bytes that all small bodies may take together. */
const SMALL_TOTAL_BYTES = 12 * 1_024 * 1_024;

/** Bytes that all larger bodies may take together unless set. */
const DEFAULT_LARGE_TOTAL_BYTES = 48 * 1_024 * 1_024;

/** Part of a caller's time in milliseconds that a body does not wait for, as
 * it could not be read and sent any more. */
const WAIT_MARGIN_MS = 100;

/** The result of reading a body: `cut` if the connection closed before the end
 * of the body, `no-memory` if there was no room for it in time, `late` if its
 * end did not arrive in time while others may have needed its room. */
export type BodyResult =
  | {
    readonly type: "body";
    readonly bytes: RequestBody;
    /** Makes room for other bodies; to be called once the request has ended. */
    readonly release: () => void;
  }
  | { readonly type: "too-large" }
  | { readonly type: "broken" }
  | { readonly type: "no-memory" }
  | { readonly type: "late" }
  | { readonly type: "cut" };

/** Limits on one body. */
export interface BodyLimits {
  readonly maxBytes: number;
  /** Monotonic time in milliseconds at which the caller no longer waits. */
  readonly deadlineAtMs: number;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** Options of `BodyReader`. */
export interface BodyReaderOptions {
  /** Bytes that all bodies above `SMALL_BYTES` may take together. A larger one
   * is read while there is no other. */
  readonly maxLargeBytes?: number | undefined;
}

/** Reads the bodies of all callers of one process. */
export class BodyReader {
  readonly #small = new BodyBudget(SMALL_TOTAL_BYTES);
  readonly #large: BodyBudget;

  constructor({ maxLargeBytes }: BodyReaderOptions = {}) {
    this.#large = new BodyBudget(maxLargeBytes ?? DEFAULT_LARGE_TOTAL_BYTES);
  }

  /** Reads the whole body into memory; never rejects. The parser alone tells
   * where it ends; the length in the headers only says how much room to
   * claim. */
  async read(
    request: IncomingMessage,
    limits: BodyLimits,
  ): Promise<BodyResult> {
    const length = Number(request.headers["content-length"] ?? 0);
    if (length > limits.maxBytes) return { type: "too-large" };
    const broken = new AbortController();
    // Before the first wait, as the event may come with the request.
    request.once(BROKEN, () => broken.abort());
    const context = { limits, broken: broken.signal };
    const room = await this.#findRoom(Math.max(length, FREE_BYTES), context);
    if (room === undefined) return getRoomless(context);
    return await new BodyRead(request, {
      ...context,
      room,
      findLarger: (bytes) => this.#findRoom(bytes, context),
    }).result;
  }

  /** Waits until there is room for a body. */
  async #findRoom(
    bytes: number,
    { limits: { deadlineAtMs, signal }, broken }: BodyContext,
  ): Promise<BodyRoom | undefined> {
    if (bytes <= FREE_BYTES) return { bytes };
    const budget = bytes <= SMALL_BYTES ? this.#small : this.#large;
    const waitMs = deadlineAtMs - performance.now() - WAIT_MARGIN_MS;
    const claim = await budget.claim(bytes, {
      waitMs,
      signal: AbortSignal.any([signal, broken]),
    });
    return claim && { bytes, claim };
  }
}

interface BodyContext {
  readonly limits: BodyLimits;
  /** Aborted if the rest of the body can't be read. */
  readonly broken: AbortSignal;
}

/** Returns the result of a body that got no room. */
function getRoomless({ limits, broken }: BodyContext): BodyResult {
  if (limits.signal.aborted) return { type: "cut" };
  return { type: broken.aborted ? "broken" : "no-memory" };
}

/** Room for one body; a body of at most `FREE_BYTES` needs no claim. */
interface BodyRoom {
  readonly bytes: number;
  readonly claim?: BodyClaim;
}

interface BodyReadOptions extends BodyContext {
  readonly room: BodyRoom;
  readonly findLarger: (bytes: number) => Promise<BodyRoom | undefined>;
}

/** Reads one body. A body of unknown length moves to a larger room when it
 * outgrows its own. */
class BodyRead {
  readonly result: Promise<BodyResult>;
  readonly #request: IncomingMessage;
  readonly #options: BodyReadOptions;
  readonly #parts = new BodyParts();
  #room: BodyRoom;
  #timeout: Timeout | undefined;
  #isSettled = false;
  #resolve: (result: BodyResult) => void = () => {};

  constructor(request: IncomingMessage, options: BodyReadOptions) {
    this.#request = request;
    this.#options = options;
    this.#room = options.room;
    this.result = new Promise((resolve) => this.#resolve = resolve);
    this.#limitTime();
    request.on("data", (chunk: Buffer) => this.#append(chunk));
    request.once("end", () => this.#finish());
    request.once("close", () => this.#settle({ type: "cut" }));
    const { broken } = options;
    broken.addEventListener("abort", () => this.#settle({ type: "broken" }));
    // Both may have happened while the body waited.
    if (broken.aborted) this.#settle({ type: "broken" });
    if (request.destroyed) this.#settle({ type: "cut" });
  }

  #append(chunk: Buffer): void {
    // The rest of a refused body is dropped.
    if (this.#isSettled) return;
    const size = this.#parts.size + chunk.length;
    if (size > this.#options.limits.maxBytes) {
      this.#settle({ type: "too-large" });
    } else if (size > this.#room.bytes) {
      this.#request.pause();
      this.#move(size).then(
        (isMoved) => {
          if (!isMoved) this.#settle(getRoomless(this.#options));
          this.#request.resume();
          this.#append(chunk);
        },
      );
    } else {
      this.#parts.append(chunk);
    }
  }

  /** Moves to a room for at least `size` bytes; false if there is none. */
  async #move(size: number): Promise<boolean> {
    const { limits, findLarger } = this.#options;
    const bytes = size <= SMALL_BYTES ? SMALL_BYTES : limits.maxBytes;
    const room = await findLarger(Math.min(bytes, limits.maxBytes));
    if (this.#isSettled) room?.claim?.release();
    if (room === undefined || this.#isSettled) return false;
    this.#room.claim?.release();
    this.#room = room;
    this.#limitTime();
    return true;
  }

  /** A body that others may wait for must end in time. */
  #limitTime(): void {
    if (this.#room.claim === undefined || this.#timeout !== undefined) return;
    const leftMs = this.#options.limits.deadlineAtMs - performance.now();
    this.#timeout = startTimeout(() => this.#settle({ type: "late" }), leftMs);
  }

  #finish(): void {
    const { claim } = this.#room;
    claim?.shrinkTo(this.#parts.size);
    const bytes = this.#parts.take();
    this.#settle({ type: "body", bytes, release: () => claim?.release() });
  }

  #settle(result: BodyResult): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    this.#timeout?.stop();
    if (result.type !== "body") this.#room.claim?.release();
    this.#parts.clear();
    this.#resolve(result);
  }
}
