/**
 * Rounds in which the machine gave the processes their processor time.
 *
 * Pattern: an entry does several times the work of a caller for each request,
 * most of all in its first seconds. On a machine that gives processor time to
 * others it falls behind, and its queue, not its path, makes the latency.
 *
 * @module
 */

/** Largest delay of a piece of work in milliseconds of a calm round. A request
 * has four more of them on its way through an entry, so such delays make it
 * longer by one service time of 20 ms at most. */
const CALM_DELAY_MS = 5;

/** A round with what the machine did meanwhile. */
export interface MeasuredRound {
  /** 99th percentile in milliseconds of the delays of a witness's work. */
  readonly workDelayMs: number;
}

/** Options of `runCalmRounds`. */
export interface CalmRoundsOptions<Round> {
  /** Number of rounds to return. */
  readonly rounds: number;
  /** Number of rounds after which no calmer ones are waited for. */
  readonly maxRounds: number;
  readonly runRound: () => Promise<Round>;
}

/**
 * Runs rounds until enough of them were calm, and returns the calmest ones.
 * What the rounds measured has no part in the choice.
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
  return workDelayMs <= CALM_DELAY_MS;
}
