/**
 * Grows the slots of a cold server.
 *
 * @module
 */

/** Starts with one slot and adds one for each number of answers. */
export class SlotRamp {
  readonly #answersPerSlot: number;
  /** Whether the server's own report `ok` ends the ramp. */
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
