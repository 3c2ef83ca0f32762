/**
 * Readiness of an entry that starts without a configuration.
 *
 * @module
 */

/** Result of a seed in the current round. */
type SeedResult =
  | { readonly type: "answered"; readonly sequence: number }
  | { readonly type: "failed" };

/** Options of `ColdStart`. */
export interface ColdStartOptions {
  readonly seeds: readonly string[];
  readonly seedTimeoutMs: number;
  /** Pause between two rounds. */
  readonly retryMs: number;
}

/**
 * Tracks the rounds in which all seeds are asked. A single answer could come
 * from an entry that missed the last changes, so two answers are required unless
 * there is only one seed.
 */
export class ColdStart {
  readonly #options: ColdStartOptions;
  #results = new Map<string, SeedResult>();
  #startedAtMs: number | undefined;
  #pauseUntilMs = -Infinity;
  #ready = false;

  constructor(options: ColdStartOptions) {
    const seeds = [...new Set(options.seeds)];
    this.#options = { ...options, seeds };
  }

  get ready(): boolean {
    return this.#ready;
  }

  /** Records an answer of the store, which suffices without any seed. */
  recordStoreAnswer(): void {
    this.#ready = true;
  }

  /** Records a seed's answer; sequence 0 means that the seed is not ready. */
  recordAnswer(address: string, sequence: number): void {
    if (!this.#options.seeds.includes(address)) return;
    this.#results.set(
      address,
      sequence > 0 ? { type: "answered", sequence } : { type: "failed" },
    );
  }

  recordFailure(address: string): void {
    if (this.#options.seeds.includes(address)) {
      this.#results.set(address, { type: "failed" });
    }
  }

  /** Starts a round if one is due, and returns the seeds to ask. */
  start(nowMs: number): readonly string[] {
    if (this.#ready || this.#startedAtMs !== undefined) return [];
    if (nowMs < this.#pauseUntilMs) return [];
    this.#startedAtMs = nowMs;
    this.#results.clear();
    return this.#options.seeds;
  }

  /**
   * Makes the entry ready if the round is complete or timed out and `sequence`,
   * the local one, is recent enough. Ends a round that timed out or has too few
   * answers.
   */
  settle(sequence: number, nowMs: number): void {
    const { seeds, seedTimeoutMs, retryMs } = this.#options;
    if (this.#ready || this.#startedAtMs === undefined) return;
    const timedOut = nowMs - this.#startedAtMs >= seedTimeoutMs;
    if (this.#results.size < seeds.length && !timedOut) return;
    if (this.#isSatisfied(sequence)) {
      this.#ready = true;
    } else if (timedOut || this.#listAnswers().length < this.#countRequired()) {
      this.#startedAtMs = undefined;
      this.#pauseUntilMs = nowMs + retryMs;
    }
  }

  #countRequired(): number {
    return Math.min(2, this.#options.seeds.length);
  }

  #listAnswers(): number[] {
    return Array.from(this.#results.values())
      .flatMap((result) => result.type === "answered" ? [result.sequence] : []);
  }

  /** Returns true if enough seeds answered and their newest snapshot arrived. */
  #isSatisfied(sequence: number): boolean {
    const answers = this.#listAnswers();
    return answers.length > 0 && answers.length >= this.#countRequired() &&
      sequence >= Math.max(...answers);
  }
}
