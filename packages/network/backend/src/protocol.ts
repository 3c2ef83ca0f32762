/**
 * Names that a client and its backend servers agree on.
 *
 * @module
 */

import type { IncomingHttpHeaders } from "node:http";

/** How backend servers are told of requests and tell of themselves. */
export interface ServerProtocol {
  /** Lower-case header with the id of the request. */
  readonly requestIdHeader: string;
  /** Lower-case header with the milliseconds that the server may work. */
  readonly deadlineHeader: string;
  /** True if answers repeat the id, and one with another id is not ours. */
  readonly echoesRequestId: boolean;
  /** True if an answer may end with its connection, without a length. */
  readonly acceptsCloseDelimited: boolean;
  /** True if the caller's `Host` goes to the server. */
  readonly keepsHost: boolean;
  /** Tells whether an answer says that the server did not run the request. */
  isNotRun(status: number, headers: IncomingHttpHeaders): boolean;
  /** Tells whether the server says that it is leaving. */
  isDraining(headers: IncomingHttpHeaders): boolean;
}

/** Protocol of the product's own deployments. */
export const OWN_PROTOCOL: ServerProtocol = {
  requestIdHeader: "dotterelmoor-request-id",
  deadlineHeader: "dotterelmoor-deadline-ms",
  echoesRequestId: false,
  acceptsCloseDelimited: false,
  keepsHost: false,
  isNotRun: (status, headers) =>
    status === 503 && headers["dotterelmoor-not-run"] === "true",
  isDraining: (headers) => headers["dotterelmoor-draining"] === "true",
};
