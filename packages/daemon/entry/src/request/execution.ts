/**
 * A request as the front entry, which received it, sends it to a group owner.
 *
 * @module
 */

import type { HeaderMap, Priority } from "@dotterelmoor/core.types";

/** A request with everything that a group owner needs to run it. */
export interface Execution {
  readonly service: string;
  readonly homeRegion: string;
  readonly frontRegion: string;
  readonly kind: string;
  readonly method: string;
  /** Path below the service's prefix, with the query string. */
  readonly path: string;
  readonly headers: HeaderMap;
  readonly body: Uint8Array;
  /** Deadline on the monotonic clock of this process. */
  readonly deadlineAtMs: number;
  readonly priority: Priority;
  readonly repeatable: boolean;
  readonly key?: string;
  readonly fingerprint: string;
  readonly requestId: string;
}
