/**
 * Learns the warm and cold run times of a kind of request.
 *
 * @module
 */

/** Weight of a new sample in the moving averages, which span about 30
 * samples. */
const SAMPLE_WEIGHT = 0.06;

/** Initial run time of a warm run, as a share of that of a cold run. */
const INITIAL_WARM_SHARE = 0.35;

/** Share of the cold run time from which a run counts as cold. A warm run
 * rarely takes that long, even if it waited in the queue unnoticed. */
const COLD_SHARE = 0.75;

/** Initial mean run time, as a share of that of a cold run. A longer one would
 * send the first requests on to further cold servers. */
const INITIAL_MEAN_SHARE = 0.5;

/** Number of samples from which the averages are used. */
const MIN_SAMPLES = 3;

/** Source of a model's initial run times: the target latency, other kinds of
 * request of the service, or runs of this kind. */
export type RunTimesOrigin = "target" | "service" | "runs";

/** Average run times in milliseconds. */
export interface RunTimes {
  /** Runs for an object that the server handled recently. */
  readonly warmMs: number;
  /** Runs for other objects. */
  readonly coldMs: number;
  /** All runs. */
  readonly meanMs: number;
}

/** Guesses run times from that of a cold run. */
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
  /** Monotonic time of the last run in milliseconds. */
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

  /** Mean run time of the requests. */
  get meanMs(): number {
    return this.#meanMs;
  }

  /** True if a run time is that of a warm run. */
  isWarm(runMs: number): boolean {
    return runMs < COLD_SHARE * this.#coldMs;
  }

  /** Adds the run time of a request that did not wait in its server's queue. */
  recordRun(runMs: number, nowMs: number): void {
    this.#samples += 1;
    this.observedAtMs = nowMs;
    if (this.isWarm(runMs)) this.#warmMs = updateAverage(this.#warmMs, runMs);
    // Longer runs are left out: a slow server must not raise the cold run time.
    else if (runMs < 2 * this.#coldMs) {
      this.#coldMs = updateAverage(this.#coldMs, runMs);
    }
    const weight = this.#origin === "service"
      // The first runs replace the mean taken over from the service.
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
