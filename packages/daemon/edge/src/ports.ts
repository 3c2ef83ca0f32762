/**
 * What an edge needs of its platform; an adapter implements it.
 *
 * @module
 */

import type { IncomingHttpHeaders } from "node:http";
import type { CatalogTable, TableUpdate } from "@dotterelmoor/core.catalog";
import type { ServerLoadReport } from "@dotterelmoor/core.placing";
import type { CrashNote } from "@dotterelmoor/core.quarantine";
import type { ServerProtocol } from "@dotterelmoor/network.backend";
import type { Result } from "ts-results-es";

/** Why a call to the store gave nothing. */
export interface StoreError {
  readonly code:
    | "condition-failed"
    | "history-lost"
    | "refused"
    | "unreachable"
    | "unreadable";
  readonly message: string;
  readonly hint: string;
}

/** Notes of crashes to write and keys of notes to remove, 100 at most. */
export interface CrashNoteChanges {
  readonly notes: readonly CrashNote[];
  readonly removedKeys: readonly string[];
}

/** Reads the catalog and the list of entries from the platform's store. */
export interface CatalogStore {
  /** Reads a whole table. */
  readAll(table: CatalogTable): Promise<Result<TableUpdate, StoreError>>;
  /** Reads changes after a version; waits for the first up to `waitMs`. */
  readChanges(
    table: CatalogTable,
    options: { readonly after: number; readonly waitMs: number },
  ): Promise<Result<TableUpdate, StoreError>>;
  /** Writes the row that leads other entries to this one. */
  registerEntry(
    instance: string,
    peerAddress: string,
  ): Promise<Result<void, StoreError>>;
  /** What entries keep for the next start of all; undefined at first. */
  readKept(): Promise<Result<unknown, StoreError>>;
  /** Replaces it; the value is written as JSON. */
  writeKept(value: unknown): Promise<Result<void, StoreError>>;
  /** Changes what entries noted of crashes. */
  changeCrashNotes(
    changes: CrashNoteChanges,
  ): Promise<Result<void, StoreError>>;
  /** Writes the note of a trial; false if another entry has written it. */
  claimTrial(note: CrashNote): Promise<Result<boolean, StoreError>>;
  /** Peer addresses of the entries that registered, ended ones included. */
  listEntries(): Promise<Result<readonly string[], StoreError>>;
  close(): void;
}

/** What a caller says of its request. */
export interface CallerRequest {
  readonly requestId: string | undefined;
  /** Time in milliseconds for which the caller waits, if it says so. */
  readonly waitMs: number | undefined;
  /** The object that the request concerns. */
  readonly object: string | undefined;
}

/** What a caller asks when it looks for entries. */
export interface LookupQuery {
  readonly region: string;
  readonly zone: string;
}

/** What a server says of itself with an answer. */
export interface ServerNotice {
  /** True if it is leaving, whatever the store says. */
  readonly isLeaving: boolean;
  /** Time in milliseconds for which it wants no request from this entry;
   * undefined if it does not say so. */
  readonly backOffMs: number | undefined;
}

/** Names and formats towards callers. */
export interface CallerProtocol {
  readonly requestIdHeader: string;
  /** Lower-case header that names the server which is to run the request. */
  readonly targetHeader: string;
  readonly lookupPath: string;
  readonly readyPath: string;
  readRequest(headers: IncomingHttpHeaders): CallerRequest;
  readLoad(headers: IncomingHttpHeaders): ServerLoadReport | undefined;
  readNotice(status: number, headers: IncomingHttpHeaders): ServerNotice;
  readLookup(query: URLSearchParams): LookupQuery;
  renderLookup(addresses: readonly string[], ttlS: number): string;
}

/** The platform as an edge sees it. */
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

/** Bounds that the platform states. */
export interface EdgeBounds {
  /** Sends beyond the first of each request, as a share of the requests. */
  readonly retryRatio: number;
  /** Sends beyond that share that all entries may add in a window. */
  readonly retryExtra: number;
  readonly retryWindowMs: number;
  /** Time in milliseconds from SIGTERM to SIGKILL. */
  readonly graceMs: number;
  /** Longest time in seconds that callers may keep a look-up's answer. */
  readonly lookupTtlMaxS: number;
  /** Time in milliseconds within which a change is to be in force. */
  readonly configurationApplyMs: number;
}

/** Settings of one edge process. */
export interface EdgeSettings {
  readonly instance: string;
  readonly region: string;
  readonly zone: string;
  /** Region of each availability zone. */
  readonly zones: Readonly<Record<string, string>>;
  /** Processor time per second, in thousandths of a core. */
  readonly capacity: number;
  readonly callers: ListenAddress;
  readonly lookups: ListenAddress;
  readonly readiness: ListenAddress;
  readonly peers: ListenAddress;
  readonly metrics: ListenAddress | undefined;
  /** Host to listen on if it is not the one of the addresses above, which
   * others use. */
  readonly listenHost?: string;
  /** Peer addresses of some entries; they may be out of date. */
  readonly seeds: readonly string[];
  /** Shared by all entries of one installation. */
  readonly peerToken: string;
  readonly bounds: EdgeBounds;
  readonly logLevel: string;
}
