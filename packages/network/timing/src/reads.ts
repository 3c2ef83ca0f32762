/**
 * Waits until the sockets have been read.
 *
 * @module
 */

/** Turns of the event loop after which the end of a connection that follows a
 * request has been handled: one turn reads it and two close the connection. */
const READ_TURNS = 4;

/**
 * Resolves once the data that is in the sockets at the time of the call has
 * been read. The event loop reads a request before what follows it, such as the
 * end of its connection. Waits at least `minTurnMs` milliseconds in each turn
 * of the event loop; 0 adds no delay.
 */
export async function waitForSocketReads(minTurnMs = 0): Promise<void> {
  for (let turn = 0; turn < READ_TURNS; turn++) {
    await waitTurn(minTurnMs);
  }
}

function waitTurn(minMs: number): Promise<void> {
  return new Promise((resolve) => {
    if (minMs > 0) setTimeout(resolve, minMs);
    else setImmediate(resolve);
  });
}
