/**
 * A forwarder that keeps what it gets, and answers at once.
 *
 * @module
 */

import type { ForwardRequest } from "./forward_types.ts";
import type { Forwarder } from "./forwarding.ts";

/** A forwarder and the requests that it got, in order. */
export interface KeepingForwarder extends Forwarder {
  readonly forwarded: ForwardRequest[];
}

/** Creates a forwarder that answers each request with an empty body. */
export function createKeepingForwarder(): KeepingForwarder {
  const forwarded: ForwardRequest[] = [];
  return {
    forwarded,
    forward: (request) => {
      forwarded.push(request);
      const body = new Uint8Array();
      return Promise.resolve({
        outcome: { type: "answered", status: 200, headers: {}, body },
        sends: [],
      });
    },
  };
}
