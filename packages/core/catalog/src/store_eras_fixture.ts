/**
 * Model of a store that comes back from older copies of its rows, of the servers
 * and the operator that write to it, and of entries that read it and each other.
 *
 * @module
 */

import { createCatalog, getPosition } from "./mod.ts";
import type {
  Catalog,
  CatalogChange,
  CatalogTable,
  RoutingDocument,
  ServerRecord,
  TableUpdate,
} from "./mod.ts";

/** Region of each availability zone of the model. */
export const ZONES: Readonly<Record<string, string>> = {
  "a-1": "a",
  "b-1": "b",
};

export const ZONE_NAMES = Object.keys(ZONES);

/** Time in milliseconds after which what the store has lost is written again, or
 * counts as gone. */
export const REWRITTEN_MS = 2_000;

interface Row {
  readonly version: number;
  readonly table: CatalogTable;
  readonly key: string;
  /** Undefined for the removal of the row. */
  readonly value: CatalogChange | undefined;
  readonly change: CatalogChange;
}

/** Store with eras. */
class ModelStore {
  era = 1;
  #rows: readonly Row[] = [];
  #copy: readonly Row[] = [];

  get version(): number {
    return this.#rows.at(-1)?.version ?? 0;
  }

  append(row: Omit<Row, "version">): void {
    this.#rows = [...this.#rows, { ...row, version: this.version + 1 }];
  }

  copy(): void {
    this.#copy = this.#rows;
  }

  /** Loses all rows since the last copy, and gives their versions out again. */
  comeBack(): void {
    this.#rows = this.#copy;
    this.era += 1;
  }

  list(table: CatalogTable): ReadonlyMap<string, CatalogChange> {
    const found = new Map<string, CatalogChange>();
    for (const { table: other, key, value } of this.#rows) {
      if (other !== table) continue;
      if (value === undefined) found.delete(key);
      else found.set(key, value);
    }
    return found;
  }

  readAll(table: CatalogTable): TableUpdate {
    const changes = [...this.list(table).values()];
    const { era, version } = this;
    return { era, version, isComplete: true, changes };
  }

  /** Changes after a version; undefined if the store does not have it. */
  readChanges(table: CatalogTable, after: number): TableUpdate | undefined {
    const { era, version } = this;
    if (after > version) return undefined;
    const changes = this.#rows
      .filter((row) => row.table === table && row.version > after)
      .map(({ change }) => change);
    return { era, version, isComplete: false, changes };
  }
}

/** A message in flight: delivering a request returns its answer, and delivering
 * an answer applies it. */
type Message = () => Message | undefined;

/** The store, those who write to it, and the catalogs of some entries. */
export class EraModel {
  readonly store = new ModelStore();
  readonly catalogs: readonly Catalog[];
  nowMs = 0;
  documentVersion = 0;
  readonly servers = new Map<string, ServerRecord>();
  readonly evacuated = new Set<string>();
  readonly #messages: Message[] = [];
  /** Number of starts of servers, each of which is born later. */
  #starts = 0;

  constructor(entries: number) {
    this.catalogs = Array.from(
      { length: entries },
      () => createCatalog({ zones: ZONES }),
    );
    this.writeDocument();
  }

  /** Lets a server report; it joins if it is unknown. */
  report(index: number, state?: "draining"): void {
    const id = `s${index}`;
    const zone = ZONE_NAMES[index % ZONE_NAMES.length]!;
    const known = this.servers.get(id);
    if (known === undefined) this.#starts += 1;
    const bornMs = known?.bornMs ?? this.#starts;
    const record: ServerRecord = {
      id,
      service: "desk",
      address: "10.0.0.1:80",
      zone,
      slots: 3,
      state: state ?? known?.state ?? "ready",
      coldMs: 0,
      bornMs,
      sequence: (known?.sequence ?? 0) + 1,
    };
    this.servers.set(id, record);
    this.#put("servers", id, { type: "server", record });
  }

  leave(index: number): void {
    const id = `s${index}`;
    if (!this.servers.delete(id)) return;
    this.#drop("servers", id, { type: "server_removed", id });
  }

  writeDocument(): void {
    this.documentVersion += 1;
    this.#putDocument();
  }

  setEvacuated(zone: string, isEvacuated: boolean): void {
    if (isEvacuated) {
      this.evacuated.add(zone);
      this.#put("orders", zone, { type: "evacuation", zone });
    } else if (this.evacuated.delete(zone)) {
      this.#drop("orders", zone, { type: "evacuation_ended", zone });
    }
  }

  /** Brings the store back from its copy. */
  comeBack(): void {
    this.store.comeBack();
  }

  /** Lets the servers and the operator write again what they had written. */
  rewrite(): void {
    for (const id of this.store.list("servers").keys()) {
      const change: CatalogChange = { type: "server_removed", id };
      if (!this.servers.has(id)) this.#drop("servers", id, change);
    }
    for (const id of this.servers.keys()) this.report(Number(id.slice(1)));
    this.#putDocument();
    for (const zone of ZONE_NAMES) {
      const isWritten = this.store.list("orders").has(zone);
      if (isWritten === this.evacuated.has(zone)) continue;
      if (isWritten) {
        this.#drop("orders", zone, { type: "evacuation_ended", zone });
      } else this.#put("orders", zone, { type: "evacuation", zone });
    }
  }

  /** Lets an entry read a table as the reader does: its changes, or all of it if
   * the store's answer is of another era or lacks the history. */
  read(index: number, table: CatalogTable, isDelayed: boolean): void {
    const catalog = this.#pick(index);
    const { era, version } = getPosition(catalog.position, table);
    const isKnown = version > 0 && era === catalog.era;
    this.#send(isDelayed, () => {
      const changes = isKnown
        ? this.store.readChanges(table, version)
        : undefined;
      const update = changes === undefined || changes.era !== era
        ? this.store.readAll(table)
        : changes;
      return () => {
        catalog.applyTable(table, update, this.nowMs);
        return undefined;
      };
    });
  }

  /** Lets an entry pull from another one. */
  follow(to: number, from: number, isDelayed: boolean): void {
    const catalog = this.#pick(to);
    const { position } = catalog;
    this.#send(isDelayed, () => {
      const delta = this.#pick(from).changesSince(position, this.nowMs);
      return () => {
        catalog.applyDelta(delta, this.nowMs);
        return undefined;
      };
    });
  }

  /** Delivers one of the delayed messages. */
  deliver(index: number): void {
    if (this.#messages.length === 0) return;
    const at = index % this.#messages.length;
    const [message] = this.#messages.splice(at, 1);
    const next = message!();
    if (next !== undefined) this.#messages.push(next);
  }

  #pick(index: number): Catalog {
    return this.catalogs[index % this.catalogs.length]!;
  }

  #send(isDelayed: boolean, request: Message): void {
    if (isDelayed) this.#messages.push(request);
    else request()?.();
  }

  #putDocument(): void {
    const document: RoutingDocument = {
      version: this.documentVersion,
      routes: [],
      services: [],
      limits: {
        maxHeaderBytes: 1,
        maxBodyBytes: 1,
        headerTimeoutMs: 1,
        idleTimeoutMs: 1,
      },
    };
    this.#put("orders", "config", { type: "document", document });
  }

  #put(table: CatalogTable, key: string, value: CatalogChange): void {
    this.store.append({ table, key, value, change: value });
  }

  #drop(table: CatalogTable, key: string, change: CatalogChange): void {
    if (!this.store.list(table).has(key)) return;
    this.store.append({ table, key, value: undefined, change });
  }
}
