/**
 * Routing document, with a change log for the entries that follow this one.
 *
 * @module
 */

import type { ChangeLog } from "./change_log.ts";
import { createRouteIndex } from "./route_index.ts";
import type { RouteIndex } from "./route_index.ts";
import type { StorePosition } from "./store_position.ts";
import type { CatalogChange, RoutingDocument } from "./types.ts";

/** Holds the newest document. */
export class DocumentTable {
  readonly #log: ChangeLog;
  #document: RoutingDocument | undefined;
  /** Era in which the document was written. */
  #era = 0;
  #routes: RouteIndex | undefined;

  constructor(log: ChangeLog) {
    this.#log = log;
  }

  get document(): RoutingDocument | undefined {
    return this.#document;
  }

  get routes(): RouteIndex | undefined {
    return this.#routes;
  }

  /** Takes over a document unless it is an older one. */
  apply(document: RoutingDocument, { era, version }: StorePosition): void {
    if (!this.#isNewer(document, era)) return;
    this.#document = document;
    this.#era = era;
    this.#routes = createRouteIndex(document.routes);
    this.#log.add("document", { type: "document", document }, version);
  }

  list(): CatalogChange[] {
    const document = this.#document;
    return document === undefined ? [] : [{ type: "document", document }];
  }

  /** Lists a document that the store has lost, and that the logged changes
   * therefore lack, for an entry that has an older one or none. */
  listKept(
    knownVersion: number | undefined,
    logged: readonly CatalogChange[],
  ): CatalogChange[] {
    const isKnown = (knownVersion ?? -1) >= (this.#document?.version ?? -1);
    const isLogged = logged.some(({ type }) => type === "document");
    return isKnown || isLogged ? [] : this.list();
  }

  /** Never reverts to an older version. In a later era, the operator may have
   * written another document under a version that the store has lost. */
  #isNewer(document: RoutingDocument, era: number): boolean {
    const current = this.#document;
    if (current === undefined || document.version > current.version) {
      return true;
    }
    return document.version === current.version && era > this.#era &&
      JSON.stringify(document) !== JSON.stringify(current);
  }
}
