/**
 * Public types of the platform client.
 *
 * @module
 */

import type {
  ListedInstance,
  ReadResult,
  TableTransaction,
  TransactResult,
} from "@dotterelmoor/core.types";

/** Options of `createPlatformClient`. */
export interface PlatformClientOptions {
  /** Base URL of the platform, such as `http://127.0.0.1:9000`. */
  readonly url: string;
  /** Time in milliseconds after which a call ends as unavailable. */
  readonly timeoutMs: number;
  /** Maximum number of concurrent calls. Further calls wait; the wait counts
   * towards their timeout. */
  readonly maxConcurrent?: number;
  /** Maximum size of a response in bytes. */
  readonly maxAnswerBytes?: number;
  /** Rows requested per page of a list. */
  readonly pageSize?: number;
  /** Called with the reason why a call was unavailable. */
  readonly onFailure?: (detail: string) => void;
}

/** Result of fetching the instance list. */
export type InstancesResult =
  | { readonly type: "instances"; readonly instances: ListedInstance[] }
  | { readonly type: "unavailable" };

/** Result of reading an object. */
export type ObjectResult =
  | { readonly type: "object"; readonly body: Uint8Array }
  | { readonly type: "absent" }
  | { readonly type: "unavailable" };

/** Result of writing an object; `unavailable` may still have taken effect. */
export type StoreResult =
  | { readonly type: "stored" }
  | { readonly type: "unavailable" };

/** Client of the platform; no method throws or retries. */
export interface PlatformClient {
  /** Runs one transaction; `unavailable` may still have taken effect. */
  transact(transaction: TableTransaction): Promise<TransactResult>;
  /** Reads one row; an absent row has version 0 and value null. */
  read(key: string): Promise<ReadResult>;
  /** Reads all rows with a prefix, page by page; the pages do not form one
   * consistent snapshot. */
  list(prefix: string): Promise<ReadResult>;
  fetchInstances(): Promise<InstancesResult>;
  getObject(name: string): Promise<ObjectResult>;
  putObject(name: string, body: Uint8Array): Promise<StoreResult>;
  /** Closes idle connections; calls in progress end as unavailable. */
  close(): void;
}
