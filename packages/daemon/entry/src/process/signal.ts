/**
 * An event that happens once.
 *
 * @module
 */

/** An event that parts may wait for. */
export interface Signal {
  readonly promise: Promise<void>;
  /** Marks the event as happened; further calls change nothing. */
  set(): void;
}

/** Creates an event that has not happened. */
export function createSignal(): Signal {
  let resolve = () => {};
  const promise = new Promise<void>((done) => {
    resolve = done;
  });
  return { promise, set: () => resolve() };
}
