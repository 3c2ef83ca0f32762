/**
 * Checks whether a process listens at an address.
 *
 * @module
 */

import { connect } from "node:net";
import { startTimeout } from "@dotterelmoor/network.timing";
import type { ListenState } from "./types.ts";

/** States by error code of the connection. A connection that is reset was
 * accepted before; a network path that is down gives no response at all. */
const ERROR_STATES: Readonly<Record<string, ListenState>> = {
  ECONNREFUSED: "refuses",
  ECONNRESET: "accepts",
};

/** Opens a connection and closes it immediately; never rejects. */
export function checkListening(
  address: string,
  timeoutMs: number,
): Promise<ListenState> {
  const separator = address.lastIndexOf(":");
  return new Promise((resolve) => {
    const socket = connect({
      host: address.slice(0, separator),
      port: Number(address.slice(separator + 1)),
    });
    const finish = (state: ListenState) => {
      timeout.stop();
      socket.destroy();
      resolve(state);
    };
    const timeout = startTimeout(() => finish("silent"), timeoutMs);
    socket.once("connect", () => finish("accepts"));
    socket.on(
      "error",
      ({ code }: NodeJS.ErrnoException) =>
        finish(ERROR_STATES[code ?? ""] ?? "silent"),
    );
  });
}
