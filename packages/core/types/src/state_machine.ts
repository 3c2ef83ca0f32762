/**
 * Interface of the decision modules, which turn events and the time into
 * actions.
 *
 * @module
 */

/** A state machine without I/O. */
export interface StateMachine<Event, Action> {
  /** Applies an event at a monotonic time in milliseconds, and returns the
   * actions that the caller is to carry out. */
  handle(event: Event, nowMs: number): Action[];
}

/** Source of random numbers from 0 (included) to 1 (excluded). */
export type Random = () => number;
