/**
 * Form of every decision module: events and the time in, actions out.
 *
 * @module
 */

/** A state machine without I/O. */
export interface StateMachine<Event, Action> {
  /** Applies an event at a monotonic time in milliseconds. */
  handle(event: Event, nowMs: number): Action[];
}

/** Source of random numbers from 0 (included) to 1 (excluded). */
export type Random = () => number;
