/**
 * One-shot events.
 *
 * @module
 */

/** A one-shot event. */
export interface OneShotEvent {
  readonly promise: Promise<void>;
  /** Resolves the promise; further calls have no effect. */
  set(): void;
}

/** Creates an event that is not set. */
export function createOneShotEvent(): OneShotEvent {
  let resolve = () => {};
  const promise = new Promise<void>((done) => {
    resolve = done;
  });
  return { promise, set: () => resolve() };
}
