/**
 * Measures the time since this process was last in contact with the store or
 * other entries.
 *
 * @module
 */

/** Clocks in milliseconds. */
export interface Clocks {
  /** Monotonic; does not advance while the instance is suspended. */
  readonly steadyMs: () => number;
  /** Time of day since 1970; may be set forward or back. */
  readonly wallMs: () => number;
}

/** The clocks of this process. */
export const SYSTEM_CLOCKS: Clocks = {
  steadyMs: () => performance.now(),
  wallMs: () => Date.now(),
};

/** Readings of both clocks in milliseconds at one moment. */
export interface Moment {
  readonly steadyMs: number;
  readonly wallMs: number;
}

/**
 * Measures the time since the last contact by the clock that has advanced more:
 * the monotonic clock misses suspensions of the instance, and the time of day
 * may be set back. A time of day that is set forward counts as a suspension
 * until the next contact.
 */
export class ContactClock {
  readonly #clocks: Clocks;
  #last: Moment = { steadyMs: -Infinity, wallMs: -Infinity };

  constructor(clocks: Clocks = SYSTEM_CLOCKS) {
    this.#clocks = clocks;
  }

  /** Reads both clocks; to be called when a request is sent. */
  mark(): Moment {
    return {
      steadyMs: this.#clocks.steadyMs(),
      wallMs: this.#clocks.wallMs(),
    };
  }

  /** Records an answered request by the time at which it was sent: the answer
   * may have been received before a suspension and read after it. */
  note(sentAt: Moment): void {
    if (sentAt.steadyMs >= this.#last.steadyMs) this.#last = sentAt;
  }

  /** Time in milliseconds since the last contact; infinite before the first. */
  ageMs(): number {
    const now = this.mark();
    return Math.max(
      now.steadyMs - this.#last.steadyMs,
      now.wallMs - this.#last.wallMs,
    );
  }
}
