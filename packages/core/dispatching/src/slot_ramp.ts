/**
 * Slow start of a cold server.
 *
 * @module
 */

/** Starts with one slot and adds one after every `answersPerSlot` answers. */
export class SlotRamp {
  readonly #answersPerSlot: number;
  /** True if the server's own `ok` report ends the ramp. */
  readonly endsWhenOk: boolean;
  #answers = 0;

  constructor(answersPerSlot: number, endsWhenOk: boolean) {
    this.#answersPerSlot = answersPerSlot;
    this.endsWhenOk = endsWhenOk;
  }

  get allowance(): number {
    return 1 + Math.floor(this.#answers / this.#answersPerSlot);
  }

  recordAnswer(): void {
    this.#answers += 1;
  }
}
