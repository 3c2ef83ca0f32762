/**
 * Tracks pipelined requests, to find the last answer of a caller's connection.
 *
 * Callers may send further requests before the first is answered. An answer
 * with `connection: close` cuts off the answers of all requests behind it,
 * although servers run them, so only the newest request's answer may close the
 * connection.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";

interface Pipeline {
  newest: IncomingMessage;
  /** True once an answer with `connection: close` was written. */
  isEnding: boolean;
}

/** The pipelined requests of all callers' connections. */
export class Pipelines {
  readonly #pipelines = new WeakMap<Socket, Pipeline>();

  /** Records a request; false if its connection closes before its answer. */
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

  /** Marks the connection as closing with a request's answer; false if a newer
   * request is behind it, and the connection must stay open. */
  end(request: IncomingMessage): boolean {
    const pipeline = this.#pipelines.get(request.socket);
    if (pipeline?.newest !== request) return false;
    pipeline.isEnding = true;
    return true;
  }
}
