/**
 * A request on its way from the front entry to a backend server.
 *
 * @module
 */

import type { Priority } from "@dotterelmoor/core.types";

/** What a group owner needs to run a request. */
export interface Execution {
  readonly service: string;
  readonly homeRegion: string;
  readonly frontRegion: string;
  readonly kind: string;
  readonly method: string;
  /** Path below the service, with its query. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Monotonic time of this process at which the caller no longer waits. */
  readonly deadlineAtMs: number;
  readonly priority: Priority;
  readonly repeatable: boolean;
  readonly key?: string;
  readonly fingerprint: string;
  readonly requestId: string;
}
