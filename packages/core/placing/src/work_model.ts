/**
 * Learns how long a kind of request runs, warm and cold.
 *
 * @module
 */

/** Weight of a new sample in the averages; about 30 samples count. */
const SAMPLE_WEIGHT = 0.06;

/** Work of a request for a recently handled object, as a share of the full. */
const INITIAL_WARM_SHARE = 0.35;

/** Share of a cold run's time above which a run is taken to be cold: a warm
 * one seldom waits for as long unnoticed. */
const COLD_SHARE = 0.75;

/** Mean run time before anything is learnt, as a share of that of a cold run:
 * a longer one would send the first requests to servers that are cold too. */
const INITIAL_MEAN_SHARE = 0.5;

/** Samples before the averages are relied on. */
const MIN_SAMPLES = 3;

/** Where the first run times of a model come from: from the target latency,
 * from other kinds of request of the service, or from runs of this kind. */
export type RunTimesOrigin = "target" | "service" | "runs";

/** Average run times in milliseconds. */
export interface RunTimes {
  /** For an object that the server handled lately. */
  readonly warmMs: number;
  readonly coldMs: number;
  /** Of all requests. */
  readonly meanMs: number;
}

/** A guess from the time that a cold run may take. */
export function guessRunTimes(coldMs: number): RunTimes {
  return {
    coldMs,
    warmMs: coldMs * INITIAL_WARM_SHARE,
    meanMs: coldMs * INITIAL_MEAN_SHARE,
  };
}

/** Learns the run times of one kind of request. */
export class WorkModel implements RunTimes {
  #warmMs: number;
  #coldMs: number;
  #meanMs: number;
  readonly #origin: RunTimesOrigin;
  #samples: number;
  /** Monotonic time of the last run. */
  observedAtMs = -Infinity;

  constructor(initial: RunTimes, origin: RunTimesOrigin) {
    this.#origin = origin;
    this.#coldMs = initial.coldMs;
    this.#warmMs = initial.warmMs;
    this.#meanMs = initial.meanMs;
    this.#samples = origin === "runs" ? MIN_SAMPLES : 0;
  }

  get times(): RunTimes {
    const { warmMs, coldMs, meanMs } = this;
    return { warmMs, coldMs, meanMs };
  }

  /** False while the run times are a guess. */
  get isLearned(): boolean {
    return this.#samples >= MIN_SAMPLES;
  }

  get warmMs(): number {
    return this.#warmMs;
  }

  get coldMs(): number {
    return this.#coldMs;
  }

  /** Average run time of the requests that were served. */
  get meanMs(): number {
    return this.#meanMs;
  }

  /** Tells whether a run time is that of a warm run. */
  isWarm(runMs: number): boolean {
    return runMs < COLD_SHARE * this.#coldMs;
  }

  /** Adds the run time of a request that did not wait at its server. */
  recordRun(runMs: number, nowMs: number): void {
    this.#samples += 1;
    this.observedAtMs = nowMs;
    if (this.isWarm(runMs)) this.#warmMs = updateAverage(this.#warmMs, runMs);
    // A slow server must not make every cold run look slow.
    else if (runMs < 2 * this.#coldMs) {
      this.#coldMs = updateAverage(this.#coldMs, runMs);
    }
    const weight = this.#origin === "service"
      // The first runs replace the mean of other kinds.
      ? Math.max(SAMPLE_WEIGHT, 1 / this.#samples)
      : SAMPLE_WEIGHT;
    const sampleMs = Math.min(runMs, 2 * this.#coldMs);
    this.#meanMs = updateAverage(this.#meanMs, sampleMs, weight);
  }
}

function updateAverage(
  average: number,
  sample: number,
  weight = SAMPLE_WEIGHT,
): number {
  return average + weight * (sample - average);
}
