/**
 * Content of the frames after the hello: a message with the id of its call.
 *
 * @module
 */

import { isCount, isPeerMessage, isRecord } from "./guards.ts";
import type { PeerMessage } from "./messages.ts";

/** Content of one frame. */
export type Envelope =
  /** A call; its answer carries the id in `replyTo`. */
  | {
    readonly type: "call";
    readonly id: number;
    readonly message: PeerMessage;
  }
  | {
    readonly type: "answer";
    readonly replyTo: number;
    readonly message: PeerMessage;
  }
  | { readonly type: "notification"; readonly message: PeerMessage }
  | { readonly type: "cancel"; readonly id: number };

/** Builds the value that is encoded in the frame of an envelope. */
export function buildFrameValue(envelope: Envelope): object {
  switch (envelope.type) {
    case "call":
      return { ...envelope.message, id: envelope.id };
    case "answer":
      return { ...envelope.message, replyTo: envelope.replyTo };
    case "notification":
      return envelope.message;
    case "cancel":
      return envelope;
  }
}

/** Parses the value of a frame; undefined if it is malformed. */
export function parseFrameValue(value: unknown): Envelope | undefined {
  if (!isRecord(value)) return undefined;
  const { id, replyTo, ...message } = value;
  if (message.type === "cancel") {
    return isCount(id) ? { type: "cancel", id } : undefined;
  }
  if (!isPeerMessage(message)) return undefined;
  if (id !== undefined) {
    return isCount(id) ? { type: "call", id, message } : undefined;
  }
  if (replyTo !== undefined) {
    return isCount(replyTo) ? { type: "answer", replyTo, message } : undefined;
  }
  return { type: "notification", message };
}
