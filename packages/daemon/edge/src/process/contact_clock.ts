/**
 * Measures the time since this process was last in contact with others.
 *
 * @module
 */

/** Clocks in milliseconds. */
export interface Clocks {
  /** Monotonic; stands still while the instance is suspended. */
  readonly steadyMs: () => number;
  /** Time of day; may be set forward or back. */
  readonly wallMs: () => number;
}

/** The clocks of this process. */
export const SYSTEM_CLOCKS: Clocks = {
  steadyMs: () => performance.now(),
  wallMs: () => Date.now(),
};

/** A moment by both clocks. */
export interface Moment {
  readonly steadyMs: number;
  readonly wallMs: number;
}

/**
 * Time since the last contact, by the clock that says more: the steady one
 * misses suspensions of the instance, the time of day is set back at times. One
 * that is set forward counts as a suspension until the next contact.
 */
export class ContactClock {
  readonly #clocks: Clocks;
  #last: Moment = { steadyMs: -Infinity, wallMs: -Infinity };

  constructor(clocks: Clocks = SYSTEM_CLOCKS) {
    this.#clocks = clocks;
  }

  /** The moment at which something is asked. */
  mark(): Moment {
    return {
      steadyMs: this.#clocks.steadyMs(),
      wallMs: this.#clocks.wallMs(),
    };
  }

  /** Notes an answer by the moment at which it was asked for: it may have been
   * received before a suspension, and be read after it. */
  note(asked: Moment): void {
    if (asked.steadyMs >= this.#last.steadyMs) this.#last = asked;
  }

  /** Milliseconds since the last contact; infinite before the first. */
  ageMs(): number {
    const now = this.mark();
    return Math.max(
      now.steadyMs - this.#last.steadyMs,
      now.wallMs - this.#last.wallMs,
    );
  }
}
