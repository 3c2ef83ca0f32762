/**
 * Waits until the sockets were read.
 *
 * @module
 */

/** Turns of the event loop after which the end of a connection behind its
 * request is handled: one reads it, two close the connection. */
const READ_TURNS = 4;

/**
 * Resolves once what is in the sockets at the time of the call has been read:
 * the event loop reads a request before what came behind it, such as the end of
 * its connection. Turns of the event loop last at least the time in
 * milliseconds, or as short as they are for 0.
 */
export async function waitForReads(minTurnMs = 0): Promise<void> {
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
