/**
 * Dispatch of events to handlers by event type.
 *
 * @module
 */

/**
 * Maps each event type to its handler. The context is the time in milliseconds,
 * or the state that a state machine collects while it handles one event.
 */
export type EventHandlers<
  Event extends { readonly type: string },
  Result,
  Context = number,
> = {
  readonly [Type in Event["type"]]: (
    event: Extract<Event, { readonly type: Type }>,
    context: Context,
  ) => Result;
};

/** Calls the handler of an event. */
export function applyEvent<
  Event extends { readonly type: string },
  Result,
  Context,
>(
  handlers: EventHandlers<Event, Result, Context>,
  event: Event,
  context: Context,
): Result {
  const handler = handlers[event.type as Event["type"]] as (
    event: Event,
    context: Context,
  ) => Result;
  return handler(event, context);
}
