/**
 * Peer connections: length-bounded frames, hello and calls with ids.
 *
 * @module
 */

export { isKeptState } from "./guards.ts";
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
  KeptState,
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
