/**
 * Lookup table of handlers by event type.
 *
 * @module
 */

/**
 * One handler for each type of event. The context is the time, or what a
 * machine gathers while it handles one event.
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
