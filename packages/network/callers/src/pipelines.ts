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
  /** Number of the newest request. A reference to the request would keep its
   * head, and its body, for as long as the connection is idle. */
  newest: number;
  /** True once an answer with `connection: close` was written. */
  isEnding: boolean;
}

/** The pipelined requests of all callers' connections. */
export class Pipelines {
  readonly #pipelines = new WeakMap<Socket, Pipeline>();
  readonly #numbers = new WeakMap<IncomingMessage, number>();

  /** Records a request; false if its connection closes before its answer. */
  admit(request: IncomingMessage): boolean {
    const { socket } = request;
    const pipeline = this.#pipelines.get(socket) ??
      { newest: 0, isEnding: false };
    if (pipeline.isEnding) return false;
    pipeline.newest += 1;
    this.#numbers.set(request, pipeline.newest);
    this.#pipelines.set(socket, pipeline);
    return true;
  }

  /** Marks the connection as closing with a request's answer; false if a newer
   * request is behind it, and the connection must stay open. */
  end(request: IncomingMessage): boolean {
    const pipeline = this.#pipelines.get(request.socket);
    const number = this.#numbers.get(request);
    if (pipeline === undefined || pipeline.newest !== number) return false;
    pipeline.isEnding = true;
    return true;
  }
}
