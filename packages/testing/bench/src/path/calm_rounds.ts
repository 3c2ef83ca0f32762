/**
 * Repeats benchmark rounds until enough of them were calm, that is, not
 * disturbed by other load on the machine.
 *
 * An entry needs several times the processor time of a caller for each request,
 * most of all in its first seconds. If other processes take processor time, the
 * entry falls behind, and the latency is that of its queue instead of that of
 * the request path.
 *
 * @module
 */

/** Maximum 99th percentile of the work delays in a calm round. A request takes
 * four more pieces of work through an entry than directly, so delays of this
 * size add at most one service time of 20 ms to it. */
const MAX_CALM_DELAY_MS = 5;

/** Result of a round, with a measure of the other load on the machine. */
export interface MeasuredRound {
  /** 99th percentile in milliseconds of the delays of a reference thread. */
  readonly workDelayMs: number;
}

/** Options of `runCalmRounds`. */
export interface CalmRoundsOptions<Round> {
  /** Number of rounds to return. */
  readonly rounds: number;
  /** Maximum number of rounds to run, calm or not. */
  readonly maxRounds: number;
  /** Runs and measures one round. */
  readonly runRound: () => Promise<Round>;
}

/**
 * Runs rounds until `rounds` of them were calm or `maxRounds` were run, and
 * returns the `rounds` with the lowest work delays. The measured latencies have
 * no influence on the choice.
 */
export async function runCalmRounds<Round extends MeasuredRound>(
  options: CalmRoundsOptions<Round>,
): Promise<Round[]> {
  const rounds: Round[] = [];
  while (
    rounds.length < options.maxRounds &&
    rounds.filter(isCalm).length < options.rounds
  ) {
    rounds.push(await options.runRound());
  }
  return rounds
    .toSorted((left, right) => left.workDelayMs - right.workDelayMs)
    .slice(0, options.rounds);
}

function isCalm({ workDelayMs }: MeasuredRound): boolean {
  return workDelayMs <= MAX_CALM_DELAY_MS;
}
