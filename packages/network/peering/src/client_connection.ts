/**
 * An outgoing connection to a peer, with its open calls.
 *
 * @module
 */

import { connect } from "node:net";
import type { Socket } from "node:net";
import { startTimeout } from "@dotterelmoor/network.timing";
import { parseFrameValue } from "./envelope.ts";
import { FrameSocket } from "./frame_socket.ts";
import { buildHello, checkHello } from "./hello.ts";
import { isPeerMessage } from "./guards.ts";
import type { PeerIdentity, PeerMessage } from "./messages.ts";
import type {
  CallOptions,
  CallResult,
  PeerLimits,
  PeerLog,
  PeerPoolOptions,
} from "./types.ts";

/** Options of a `ClientConnection`. */
export interface ClientConnectionOptions {
  readonly address: string;
  readonly pool: PeerPoolOptions;
  readonly limits: PeerLimits;
  readonly log: PeerLog;
  /** Called once, when the connection is closed or could not be opened. */
  readonly onClose: (wasOpen: boolean) => void;
}

/** Ends one open call with its result. */
type Settle = (result: CallResult) => void;

/** An outgoing connection; it is not reopened after it was closed. */
export class ClientConnection {
  /** Resolves to true once calls can be sent, to false if opening failed. */
  readonly ready: Promise<boolean>;
  readonly #options: ClientConnectionOptions;
  readonly #socket: Socket;
  readonly #frames: FrameSocket;
  readonly #openTimer: NodeJS.Timeout;
  readonly #calls = new Map<number, Settle>();
  #setReady!: (isReady: boolean) => void;
  #nextId = 1;
  #peer: PeerIdentity | undefined;
  /** Number of calls and notifications that wait for the connection to open. */
  waiting = 0;

  constructor(options: ClientConnectionOptions) {
    this.#options = options;
    const { address, limits, pool } = options;
    this.ready = new Promise((resolve) => this.#setReady = resolve);
    const separator = address.lastIndexOf(":");
    this.#socket = connect({
      host: address.slice(0, separator),
      port: Number(address.slice(separator + 1)),
    });
    this.#frames = new FrameSocket(this.#socket, {
      maxFrameBytes: limits.maxFrameBytes,
      events: {
        onFrame: (value) => this.#handleFrame(value),
        onClose: () => this.#handleClose(),
      },
    });
    this.#openTimer = setTimeout(() => this.close(), limits.helloTimeoutMs);
    this.#socket.once("connect", () => {
      this.#frames.sendValue(buildHello(pool.identity, pool.token));
    });
    this.#socket.setTimeout(limits.idleMs, () => {
      if (this.isIdle) this.close();
    });
  }

  get isIdle(): boolean {
    return this.#calls.size === 0 && this.waiting === 0;
  }

  /** Sends a call on an open connection and waits for its answer. */
  call(message: PeerMessage, options: CallOptions): Promise<CallResult> {
    const { maxCalls, maxCallBuffer } = this.#options.limits;
    const isFull = this.#calls.size >= maxCalls ||
      this.#frames.unsentBytes > maxCallBuffer;
    const isOtherProcess = options.processId !== undefined &&
      options.processId !== this.#peer?.processId;
    const id = this.#nextId++;
    if (
      isFull || isOtherProcess ||
      !this.#frames.send({ type: "call", id, message })
    ) return Promise.resolve({ type: "not_sent" });
    return this.#waitForAnswer(id, options);
  }

  /** Sends a message that gets no answer; drops it if the peer reads slowly. */
  notify(message: PeerMessage): void {
    if (this.#frames.unsentBytes > this.#options.limits.maxNotifyBuffer) {
      return;
    }
    this.#frames.send({ type: "notification", message });
  }

  /** Closes the connection; open calls end as lost. */
  close(): void {
    this.#frames.close();
  }

  #waitForAnswer(id: number, options: CallOptions): Promise<CallResult> {
    const { timeoutMs, signal } = options;
    return new Promise((resolve) => {
      const settle: Settle = (result) => {
        if (!this.#calls.delete(id)) return;
        timeout.stop();
        signal?.removeEventListener("abort", abort);
        resolve(result);
      };
      const cancel = (result: CallResult) => {
        this.#frames.send({ type: "cancel", id });
        settle(result);
      };
      const abort = () => cancel({ type: "cancelled", sent: true });
      const timeout = startTimeout(() => cancel({ type: "lost" }), timeoutMs);
      signal?.addEventListener("abort", abort, { once: true });
      this.#calls.set(id, settle);
    });
  }

  #handleFrame(value: unknown): void {
    if (this.#peer === undefined) {
      this.#handleHello(value);
      return;
    }
    const envelope = parseFrameValue(value);
    if (envelope?.type === "notification" && isPeerMessage(value)) {
      if (value.type === "error") this.#closeOnError(value.message);
      return;
    }
    if (envelope?.type !== "answer") {
      this.#frames.closeWithError(
        "malformed-frame",
        "A frame is not an answer",
      );
      this.#closeOnError("A frame is not an answer");
      return;
    }
    // Undefined for a late answer to a call that has already ended.
    const settle = this.#calls.get(envelope.replyTo);
    const { message } = envelope;
    if (message.type === "error") {
      this.#options.log.debug(`[peer] A call failed: ${message.message}`);
      settle?.({ type: "lost" });
      return;
    }
    settle?.({ type: "answered", message, peer: this.#peer });
  }

  #handleHello(value: unknown): void {
    if (isPeerMessage(value) && value.type === "error") {
      this.#closeOnError(value.message);
      return;
    }
    const result = checkHello(value, this.#options.pool.token);
    if (result.type === "refused") {
      this.#frames.closeWithError(result.error.code, result.error.message);
      this.#closeOnError(result.error.message);
      return;
    }
    clearTimeout(this.#openTimer);
    this.#peer = result.peer;
    this.#frames.setFullSize();
    this.#setReady(true);
  }

  #closeOnError(reason: string): void {
    const { log, address } = this.#options;
    log.warn(`[peer] The connection to ${address} failed: ${reason}`);
    this.close();
  }

  #handleClose(): void {
    clearTimeout(this.#openTimer);
    this.#setReady(false);
    for (const settle of [...this.#calls.values()]) settle({ type: "lost" });
    this.#options.onClose(this.#peer !== undefined);
  }
}
