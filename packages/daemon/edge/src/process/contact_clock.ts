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

const SYSTEM_CLOCKS: Clocks = {
  steadyMs: () => performance.now(),
  wallMs: () => Date.now(),
};

/**
 * Time since the last contact, by the clock that says more: the steady one
 * misses suspensions of the instance, the time of day is set back at times. One
 * that is set forward counts as a suspension until the next contact.
 */
export class ContactClock {
  readonly #clocks: Clocks;
  #steadyMs = -Infinity;
  #wallMs = -Infinity;

  constructor(clocks: Clocks = SYSTEM_CLOCKS) {
    this.#clocks = clocks;
  }

  /** Notes a contact. */
  note(): void {
    this.#steadyMs = this.#clocks.steadyMs();
    this.#wallMs = this.#clocks.wallMs();
  }

  /** Milliseconds since the last contact; infinite before the first. */
  ageMs(): number {
    return Math.max(
      this.#clocks.steadyMs() - this.#steadyMs,
      this.#clocks.wallMs() - this.#wallMs,
    );
  }
}
