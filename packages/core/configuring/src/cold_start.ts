/**
 * Rule by which an entry with empty memory may serve.
 *
 * @module
 */

/** A seed's answer in the current round. */
type SeedResult =
  | { readonly type: "answered"; readonly sequence: number }
  | { readonly type: "failed" };

/** Options of `ColdStart`. */
export interface ColdStartOptions {
  readonly seeds: readonly string[];
  readonly seedTimeoutMs: number;
  /** Pause before all seeds are asked again. */
  readonly retryMs: number;
}

/**
 * Tracks rounds in which all seeds are asked. One answer could come from an
 * entry that missed the last changes, so two are needed if there are two.
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

  /** The store's answer decides, whatever the seeds say. */
  recordStoreAnswer(): void {
    this.#ready = true;
  }

  /** Records an answer; a seed with sequence 0 is not ready itself. */
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

  /** Starts a round if one is due; returns the seeds to ask. */
  start(nowMs: number): readonly string[] {
    if (this.#ready || this.#startedAtMs !== undefined) return [];
    if (nowMs < this.#pauseUntilMs) return [];
    this.#startedAtMs = nowMs;
    this.#results.clear();
    return this.#options.seeds;
  }

  /** Ends the round if it is complete or has lasted too long. */
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

  /** The highest answered sequence must have arrived here as well. */
  #isSatisfied(sequence: number): boolean {
    const answers = this.#listAnswers();
    return answers.length > 0 && answers.length >= this.#countRequired() &&
      sequence >= Math.max(...answers);
  }
}
