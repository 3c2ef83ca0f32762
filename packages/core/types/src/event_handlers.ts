/**
 * Lookup table of handlers by event type.
 *
 * @module
 */

/** One handler for each type of event. */
export type EventHandlers<Event extends { readonly type: string }, Result> = {
  readonly [Type in Event["type"]]: (
    event: Extract<Event, { readonly type: Type }>,
    nowMs: number,
  ) => Result;
};

/** Calls the handler of an event. */
export function applyEvent<Event extends { readonly type: string }, Result>(
  handlers: EventHandlers<Event, Result>,
  event: Event,
  nowMs: number,
): Result {
  const handler = handlers[event.type as Event["type"]] as (
    event: Event,
    nowMs: number,
  ) => Result;
  return handler(event, nowMs);
}
