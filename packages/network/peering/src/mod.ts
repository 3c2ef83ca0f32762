/**
 * Connections between peers: length-prefixed CBOR frames, a hello handshake and
 * calls that are matched to their answers by id.
 *
 * @module
 */

export { isSavedState } from "./guards.ts";
export { PROTOCOL_VERSION } from "./messages.ts";
export type {
  CatalogMessage,
  CatalogPullMessage,
  ConfigPullMessage,
  ConfigPushMessage,
  ConfigUnchangedMessage,
  CrashNotedMessage,
  CrashReportMessage,
  ExecMessage,
  ExecResultMessage,
  HandoverMessage,
  LoadRedirectMessage,
  LoadReportMessage,
  LoadSumsMessage,
  MembershipMessage,
  PeerErrorMessage,
  PeerIdentity,
  PeerMessage,
  PeerMessageOf,
  PeerMessageType,
  PermitMessage,
  PermitResultMessage,
  PromiseMessage,
  PromiseResultMessage,
  SavedState,
  SubmitMessage,
} from "./messages.ts";
export { packValue, unpackValue } from "./packing.ts";
export { createPeerPool } from "./pool.ts";
export { createPeerServer } from "./server.ts";
export type {
  CallOptions,
  CallResult,
  HandlerContext,
  PeerHandlers,
  PeerLimits,
  PeerLog,
  PeerPool,
  PeerPoolOptions,
  PeerServer,
  PeerServerOptions,
} from "./types.ts";
