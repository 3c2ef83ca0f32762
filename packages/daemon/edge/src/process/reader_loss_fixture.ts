/**
 * Catalog watches of one region that pull from each other in memory, and whose
 * readers fail.
 *
 * @module
 */

import type { ExecutionContext } from "ava";
import { createCatalog } from "@dotterelmoor/core.catalog";
import type { Catalog, CatalogPosition } from "@dotterelmoor/core.catalog";
import { DisposableStore } from "@dotterelmoor/core.types";
import type { CatalogMessage } from "@dotterelmoor/network.peering";
import { Err } from "ts-results-es";
import { pino } from "pino";
import type { CatalogStore, StoreError } from "../ports.ts";
import {
  buildDocument,
  buildRoute,
  buildServer,
  createMemoryStore,
} from "../edge_fixture.ts";
import type { MemoryStore } from "../edge_fixture.ts";
import { startCatalogWatch } from "./catalog_watch.ts";
import type { CatalogWatch, CatalogWatchOptions } from "./catalog_watch.ts";
import { createEdgeMetrics } from "./metrics.ts";

/** Times in milliseconds after which a call to a silent store, or a pull from a
 * dead entry, fails. */
const STORE_TIMEOUT_MS = 600;
const PULL_TIMEOUT_MS = 2_500;

/** Time in milliseconds after which membership has removed a dead entry. */
const REMOVAL_MS = 3_000;

const NO_ANSWER: StoreError = {
  code: "unreachable",
  message: "No answer came in time",
  hint: "Wait",
};

/** Resolves after a time in milliseconds. */
export const wait = (ms: number) =>
  new Promise((resolve) => setTimeout(resolve, ms));

/** Condition of an entry: a `dead` one answers nothing; a `cut` one answers other
 * entries and has lost its way to the store. */
export type Condition = "cut" | "dead" | "sound";

/** Entries of one region. */
export interface TestRegion {
  readonly memory: MemoryStore;
  /** In order of precedence as the reader. */
  readonly entries: readonly TestEntry[];
}

/** Starts the entries of a region, with a server `s1` in the store; resolves once
 * all have loaded the catalog. */
export async function startRegion(
  t: ExecutionContext,
  count: number,
): Promise<TestRegion> {
  const memory = createMemoryStore();
  const document = buildDocument(1, [buildRoute()]);
  memory.put("orders", "config", { type: "document", document });
  const record = buildServer("s1", "127.0.0.1:9");
  memory.put("servers", "s1", { type: "server", record });
  const entries: TestEntry[] = [];
  for (let index = 0; index < count; index++) {
    entries.push(new TestEntry(`p${index}`, memory, entries));
  }
  for (const entry of entries) entry.start();
  t.teardown(() => entries.forEach((entry) => entry.setCondition("dead")));
  while (!entries.every(({ isLoaded }) => isLoaded)) await wait(20);
  return { memory, entries };
}

/** One entry of a region. */
export class TestEntry {
  readonly id: string;
  readonly catalog: Catalog = createCatalog({ zones: { "a-1": "a" } });
  readonly #memory: MemoryStore;
  readonly #entries: readonly TestEntry[];
  readonly #store = new DisposableStore();
  #watch: CatalogWatch | undefined;
  #condition: Condition = "sound";
  #sinceMs = -Infinity;

  constructor(id: string, memory: MemoryStore, entries: readonly TestEntry[]) {
    this.id = id;
    this.#memory = memory;
    this.#entries = entries;
  }

  get isLoaded(): boolean {
    return this.#watch?.isLoaded ?? false;
  }

  /** True if membership counts the entry as live. */
  get isLive(): boolean {
    return this.#condition !== "dead" ||
      performance.now() - this.#sinceMs < REMOVAL_MS;
  }

  start(): void {
    const store = this.#store;
    this.#watch = startCatalogWatch({
      processId: this.id,
      catalog: this.catalog,
      source: this.#createSource(),
      store,
      metrics: createEdgeMetrics({ address: undefined, store }),
      log: pino({ level: "silent" }),
      onChanged: () => {},
      listRegion: () =>
        this.#entries.filter(({ isLive }) => isLive).map(({ id }) => id),
      joinMs: 0,
      isContact: () => true,
      pull: (source) => this.#pull(source),
    });
  }

  setCondition(condition: Condition): void {
    this.#condition = condition;
    this.#sinceMs = performance.now();
    if (condition === "dead") void this.#store.dispose();
  }

  /** True if this entry would send requests to a server of `desk`. */
  knowsServer(id: string): boolean {
    return this.catalog.findServers("desk", performance.now())
      .some(({ record }) => record.id === id);
  }

  answer(position: CatalogPosition): CatalogMessage | undefined {
    if (this.#condition === "dead") return undefined;
    return {
      type: "catalog",
      delta: this.catalog.changesSince(position, performance.now()),
      ageMs: Math.min(1e9, this.#watch?.ageMs() ?? Infinity),
      reader: this.#watch?.reader ?? "",
    };
  }

  async #pull(
    source: Parameters<CatalogWatchOptions["pull"]>[0],
  ): Promise<CatalogMessage | undefined> {
    const others = this.#entries.filter((entry) =>
      entry !== this && entry.isLive &&
      (source.type !== "process" || entry.id === source.processId)
    );
    const target = others[Math.floor(Math.random() * others.length)];
    await wait(1);
    const answer = target?.answer(this.catalog.position);
    if (target !== undefined && answer === undefined) {
      await wait(PULL_TIMEOUT_MS);
    }
    return answer;
  }

  #createSource(): CatalogStore {
    const client = this.#memory.createClient(this.id);
    const silence = async () => {
      await wait(STORE_TIMEOUT_MS);
      return Err(NO_ANSWER);
    };
    return {
      ...client,
      readAll: (table) =>
        this.#condition === "sound" ? client.readAll(table) : silence(),
      readChanges: async (table, options) => {
        if (this.#condition !== "sound") return await silence();
        const result = await client.readChanges(table, options);
        return this.#condition === "sound" ? result : await silence();
      },
    };
  }
}
