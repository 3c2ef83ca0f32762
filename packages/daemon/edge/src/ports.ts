/**
 * Interfaces between an entry and its platform, which an adapter implements,
 * and the settings of an entry.
 *
 * @module
 */

import type { IncomingHttpHeaders } from "node:http";
import type { CatalogTable, TableUpdate } from "@dotterelmoor/core.catalog";
import type { ServerLoadReport } from "@dotterelmoor/core.placing";
import type { CrashNote } from "@dotterelmoor/core.quarantine";
import type { ServerProtocol } from "@dotterelmoor/network.backend";
import type { Result } from "ts-results-es";

/** Error of a call to the store. */
export interface StoreError {
  readonly code:
    | "condition-failed"
    | "history-lost"
    | "refused"
    | "unreachable"
    | "unreadable";
  readonly message: string;
  readonly hint: string;
  /** Era that the store's answer states, if there is one. */
  readonly era?: number | undefined;
}

/** Crash notes to write and keys of notes to remove, at most 100 in total. */
export interface CrashNoteChanges {
  readonly notes: readonly CrashNote[];
  readonly removedKeys: readonly string[];
}

/** Client of the platform's store, which holds the catalog, the list of entries,
 * the state that they save and the crash notes. */
export interface CatalogStore {
  /** Reads a whole table. */
  readAll(table: CatalogTable): Promise<Result<TableUpdate, StoreError>>;
  /** Reads the changes after a version; waits up to `waitMs` for the first. */
  readChanges(
    table: CatalogTable,
    options: { readonly after: number; readonly waitMs: number },
  ): Promise<Result<TableUpdate, StoreError>>;
  /** Writes the row by which other entries discover this one. */
  registerEntry(
    instance: string,
    peerAddress: string,
  ): Promise<Result<void, StoreError>>;
  /** Reads the state that entries saved for the case that all restart;
   * undefined if none was saved yet. */
  readSavedState(): Promise<Result<unknown, StoreError>>;
  /** Replaces the saved state; the value is written as JSON. */
  writeSavedState(value: unknown): Promise<Result<void, StoreError>>;
  /** Writes and removes crash notes. */
  changeCrashNotes(
    changes: CrashNoteChanges,
  ): Promise<Result<void, StoreError>>;
  /** Writes the note of a trial; false if another entry has claimed it. */
  claimTrial(note: CrashNote): Promise<Result<boolean, StoreError>>;
  /** Lists the peer addresses of all entries that registered, including those
   * that have ended since. */
  listEntries(): Promise<Result<readonly string[], StoreError>>;
  close(): void;
}

/** What a caller states about its request. */
export interface CallerRequest {
  readonly requestId: string | undefined;
  /** Time in milliseconds for which the caller waits, if stated. */
  readonly waitMs: number | undefined;
  /** The object that the request concerns, the key of server affinity. */
  readonly object: string | undefined;
}

/** Location of a caller that looks up entries. */
export interface LookupQuery {
  readonly region: string;
  readonly zone: string;
}

/** What a server states about itself with an answer. */
export interface ServerNotice {
  /** True if the server is shutting down, even if its record in the store does
   * not say so. */
  readonly isLeaving: boolean;
  /** Time in milliseconds for which this entry is to send it no requests;
   * undefined if not stated. */
  readonly backOffMs: number | undefined;
}

/** Header names, paths and formats of the protocol between callers and
 * entries. */
export interface CallerProtocol {
  readonly requestIdHeader: string;
  /** Lower-case name of the header that holds the id of the server for which a
   * request is meant. */
  readonly targetHeader: string;
  readonly lookupPath: string;
  readonly readyPath: string;
  readRequest(headers: IncomingHttpHeaders): CallerRequest;
  readLoad(headers: IncomingHttpHeaders): ServerLoadReport | undefined;
  readNotice(status: number, headers: IncomingHttpHeaders): ServerNotice;
  readLookup(query: URLSearchParams): LookupQuery;
  renderLookup(addresses: readonly string[], ttlS: number): string;
}

/** The platform that an entry runs on. */
export interface EdgePlatform {
  readonly callers: CallerProtocol;
  readonly servers: ServerProtocol;
  readonly store: CatalogStore;
}

/** `host` and `port` to listen on. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Limits that the platform sets. */
export interface EdgeBounds {
  /** Retries, including backup requests, as a share of the requests. */
  readonly retryRatio: number;
  /** Retries beyond that share that all entries together may send in a window of
   * `retryWindowMs`. */
  readonly retryExtra: number;
  readonly retryWindowMs: number;
  /** Time in milliseconds from SIGTERM to SIGKILL. */
  readonly graceMs: number;
  /** Longest time in seconds for which callers may cache a lookup's answer. */
  readonly lookupTtlMaxS: number;
  /** Time in milliseconds within which a configuration must be in force. */
  readonly configurationApplyMs: number;
}

/** Settings of one entry. */
export interface EdgeSettings {
  /** Id of the instance that the entry runs on. */
  readonly instance: string;
  readonly region: string;
  readonly zone: string;
  /** Region of each availability zone. */
  readonly zones: Readonly<Record<string, string>>;
  /** CPU capacity of the instance in thousandths of a core. */
  readonly capacity: number;
  /** Memory in bytes that the process may take; undefined if unknown. */
  readonly memoryBytes?: number | undefined;
  readonly callers: ListenAddress;
  readonly lookups: ListenAddress;
  readonly readiness: ListenAddress;
  readonly peers: ListenAddress;
  readonly metrics: ListenAddress | undefined;
  /** Host to listen on, if it differs from the host of the addresses above,
   * under which others reach this entry. */
  readonly listenHost?: string;
  /** Peer addresses of some entries; they may be out of date. */
  readonly seeds: readonly string[];
  /** Secret shared by all entries of one installation. */
  readonly peerToken: string;
  readonly bounds: EdgeBounds;
  readonly logLevel: string;
}
