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

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

interface Pipeline {
  newest: IncomingMessage;
  /** True once an answer with `connection: close` was written. */
  isEnding: boolean;
  /** Callbacks of the requests whose answers are not sent yet. */
  readonly waiting: Set<() => void>;
}

/** The pipelined requests of all callers' connections. */
export class Pipelines {
  readonly #pipelines = new WeakMap<Socket, Pipeline>();

  /** Records a request; false if its connection closes before its answer. */
  admit(request: IncomingMessage): boolean {
    const pipeline = this.#pipelines.get(request.socket);
    if (pipeline === undefined) {
      this.#pipelines.set(request.socket, startPipeline(request));
      return true;
    }
    if (pipeline.isEnding) return false;
    pipeline.newest = request;
    return true;
  }

  /** Calls back once the answer to an admitted request is sent, or the
   * connection closed before. Node.js emits no `close` for a response that
   * waits behind another one. */
  onEnd(
    request: IncomingMessage,
    response: ServerResponse,
    callback: () => void,
  ): void {
    const { waiting } = this.#pipelines.get(request.socket)!;
    waiting.add(callback);
    response.once("close", () => {
      if (waiting.delete(callback)) callback();
    });
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

function startPipeline(request: IncomingMessage): Pipeline {
  const waiting = new Set<() => void>();
  request.socket.once("close", () => {
    for (const callback of waiting) callback();
    waiting.clear();
  });
  return { newest: request, isEnding: false, waiting };
}
