/**
 * Headers and rules that a client and its backend servers agree on.
 *
 * @module
 */

import type { IncomingHttpHeaders } from "node:http";

/** Headers and rules of the HTTP exchange with backend servers. */
export interface ServerProtocol {
  /** Lower-case name of the header with the request id. */
  readonly requestIdHeader: string;
  /** Lower-case name of the header with the milliseconds that the server may
   * work. */
  readonly deadlineHeader: string;
  /** True if responses repeat the request id; one with another id belongs to
   * another request. A response without an id counts on a new connection only,
   * which carries no further request. */
  readonly echoesRequestId: boolean;
  /** True if the end of the connection may delimit a response. */
  readonly acceptsCloseDelimited: boolean;
  /** True if the caller's `Host` is forwarded to the server. */
  readonly keepsHost: boolean;
  /** Returns true if a response says that the server did not run the
   * request. */
  isNotRun(status: number, headers: IncomingHttpHeaders): boolean;
  /** Returns true if a response says that the server is draining. */
  isDraining(headers: IncomingHttpHeaders): boolean;
}

/** Protocol of the product's own deployments; the default of a client. */
export const DEFAULT_PROTOCOL: ServerProtocol = {
  requestIdHeader: "dotterelmoor-request-id",
  deadlineHeader: "dotterelmoor-deadline-ms",
  echoesRequestId: true,
  acceptsCloseDelimited: false,
  keepsHost: false,
  isNotRun: (status, headers) =>
    status === 503 && headers["dotterelmoor-not-run"] === "true",
  isDraining: (headers) => headers["dotterelmoor-draining"] === "true",
};
