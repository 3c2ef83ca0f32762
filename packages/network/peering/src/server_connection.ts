/**
 * An accepted connection: hello, then calls and notifications.
 *
 * @module
 */

import type { Socket } from "node:net";
import { parseFrameValue } from "./envelope.ts";
import type { Envelope } from "./envelope.ts";
import { FrameSocket } from "./frame_socket.ts";
import { buildError, buildHello, checkHello } from "./hello.ts";
import type { PeerIdentity, PeerMessage } from "./messages.ts";
import type {
  HandlerContext,
  PeerHandlers,
  PeerLimits,
  PeerLog,
  PeerServerOptions,
} from "./types.ts";

/** Options of a `ServerConnection`. */
export interface ServerConnectionOptions {
  readonly server: PeerServerOptions;
  readonly limits: PeerLimits;
  readonly log: PeerLog;
  readonly onClose: () => void;
}

type Handler = (
  message: PeerMessage,
  context: HandlerContext,
) => Promise<PeerMessage | undefined>;

/** An accepted connection from a peer. */
export class ServerConnection {
  readonly #options: ServerConnectionOptions;
  readonly #frames: FrameSocket;
  readonly #helloTimer: NodeJS.Timeout;
  readonly #calls = new Map<number, AbortController>();
  readonly #closed = new AbortController();
  #notifications = 0;
  #peer: PeerIdentity | undefined;

  constructor(socket: Socket, options: ServerConnectionOptions) {
    this.#options = options;
    this.#frames = new FrameSocket(socket, {
      maxFrameBytes: options.limits.maxFrameBytes,
      events: {
        onFrame: (value) => this.#handleFrame(value),
        onClose: () => this.#handleClose(),
      },
    });
    this.#helloTimer = setTimeout(
      () =>
        this.#closeWithError("hello-timeout", "The hello did not come in time"),
      options.limits.helloTimeoutMs,
    );
  }

  /** Closes the connection and aborts its calls. */
  close(): void {
    this.#frames.close();
  }

  #handleFrame(value: unknown): void {
    if (this.#peer === undefined) {
      this.#handleHello(value);
      return;
    }
    const envelope = parseFrameValue(value);
    if (envelope === undefined || envelope.type === "answer") {
      this.#closeWithError("malformed-frame", "A frame is not a message");
      return;
    }
    ENVELOPE_HANDLERS[envelope.type](this, envelope as never);
  }

  #handleHello(value: unknown): void {
    clearTimeout(this.#helloTimer);
    const { identity, token } = this.#options.server;
    const result = checkHello(value, token);
    if (result.type === "refused") {
      this.#closeWithError(result.error.code, result.error.message);
      return;
    }
    this.#peer = result.peer;
    this.#frames.setFullSize();
    this.#frames.sendValue(buildHello(identity, token));
  }

  /** Runs the handler of a call and sends its answer. */
  async runCall(id: number, message: PeerMessage): Promise<void> {
    if (this.#calls.has(id)) {
      this.#closeWithError("repeated-id", "A call has the id of an open call");
      return;
    }
    if (this.#calls.size >= this.#options.limits.maxCalls) {
      this.#answer(id, buildError("too-many-calls", "Too many open calls"));
      return;
    }
    const controller = new AbortController();
    this.#calls.set(id, controller);
    const answer = await this.#runHandler(message, controller.signal);
    this.#calls.delete(id);
    if (!controller.signal.aborted) this.#answer(id, answer);
  }

  /** Runs the handler of a notification; drops it above `maxCalls`. */
  async runNotification(message: PeerMessage): Promise<void> {
    if (this.#notifications >= this.#options.limits.maxCalls) return;
    this.#notifications += 1;
    await this.#runHandler(message, this.#closed.signal);
    this.#notifications -= 1;
  }

  /** Aborts an open call; its answer is dropped. */
  cancelCall(id: number): void {
    this.#calls.get(id)?.abort(new Error("The peer cancelled the call"));
  }

  async #runHandler(
    message: PeerMessage,
    signal: AbortSignal,
  ): Promise<PeerMessage> {
    const handlers: PeerHandlers = this.#options.server.handlers;
    const handler = handlers[message.type] as Handler | undefined;
    if (handler === undefined) {
      return buildError("no-handler", `Cannot handle ${message.type}`);
    }
    try {
      const answer = await handler(message, { peer: this.#peer!, signal });
      return answer ?? buildError("no-answer", "The handler has no answer");
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      this.#options.log.warn(
        `[peer] The handler of ${message.type} failed: ${detail}`,
      );
      return buildError("handler-failed", "The handler failed");
    }
  }

  #answer(id: number, message: PeerMessage): void {
    const { maxCallBuffer } = this.#options.limits;
    if (this.#frames.unsentBytes > 2 * maxCallBuffer) {
      this.#options.log.warn(
        "[peer] Closed a connection: the peer does not read its answers",
      );
      this.close();
      return;
    }
    if (this.#frames.send({ type: "answer", replyTo: id, message })) return;
    const error = buildError("answer-too-large", "The answer is too large");
    this.#frames.send({ type: "answer", replyTo: id, message: error });
  }

  #closeWithError(code: string, message: string): void {
    this.#options.log.warn(`[peer] Closed a connection: ${message}`);
    this.#frames.closeWithError(code, message);
    this.#cancelCalls();
  }

  #handleClose(): void {
    clearTimeout(this.#helloTimer);
    this.#cancelCalls();
    this.#options.onClose();
  }

  #cancelCalls(): void {
    const reason = new Error("The connection is closed");
    for (const controller of this.#calls.values()) controller.abort(reason);
    this.#closed.abort(reason);
  }
}

type EnvelopeHandlers = {
  readonly [T in Exclude<Envelope["type"], "answer">]: (
    connection: ServerConnection,
    envelope: Extract<Envelope, { readonly type: T }>,
  ) => void;
};

const ENVELOPE_HANDLERS: EnvelopeHandlers = {
  call: (connection, { id, message }) => void connection.runCall(id, message),
  notification: (connection, { message }) =>
    void connection.runNotification(message),
  cancel: (connection, { id }) => connection.cancelCall(id),
};
