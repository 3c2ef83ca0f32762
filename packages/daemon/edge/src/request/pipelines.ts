/**
 * Which answer is the last one of a caller's connection.
 *
 * Callers may send further requests before the first is answered. An answer
 * that ends the connection cuts off all that follow it, although servers run
 * them, so only the newest request's answer may end it.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";

interface Pipeline {
  newest: IncomingMessage;
  /** True once an answer says that the connection ends. */
  isEnding: boolean;
}

/** The requests of all connections of callers. */
export class Pipelines {
  readonly #pipelines = new WeakMap<Socket, Pipeline>();

  /** Takes in a request; false if its connection ends before its answer. */
  admit(request: IncomingMessage): boolean {
    const pipeline = this.#pipelines.get(request.socket);
    if (pipeline === undefined) {
      const started = { newest: request, isEnding: false };
      this.#pipelines.set(request.socket, started);
      return true;
    }
    if (pipeline.isEnding) return false;
    pipeline.newest = request;
    return true;
  }

  /** Ends the connection with a request's answer; false if others follow it. */
  end(request: IncomingMessage): boolean {
    const pipeline = this.#pipelines.get(request.socket);
    if (pipeline?.newest !== request) return false;
    pipeline.isEnding = true;
    return true;
  }
}
