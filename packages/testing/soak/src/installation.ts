/**
 * Real entry processes with stand-ins of the store and of backend servers, and
 * proxies on every path between them.
 *
 * @module
 */

import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import type { RoutingDocument, ServerRecord } from "@dotterelmoor/core.catalog";
import {
  encodeDocument,
  encodeServer,
  renderSettings,
  startStandInServer,
  startStandInStore,
  STORE_ROWS,
} from "@dotterelmoor/platform";
import type { StandInServer, StandInStore } from "@dotterelmoor/platform";
import { startProcess } from "@dotterelmoor/testing.demo";
import type { RunningProcess } from "@dotterelmoor/testing.demo";
import { startFaultProxy } from "./fault_proxy.ts";
import type { FaultProxy } from "./fault_proxy.ts";
import type { RunRecord } from "./records.ts";

const MAIN = fileURLToPath(import.meta.resolve("@dotterelmoor/platform"))
  .replace(/mod\.[jt]s$/, "main.js");

const ZONES = { "a-1": "a", "a-2": "a", "b-1": "b", "b-2": "b" } as const;
const ZONE_NAMES = ["a-1", "a-2", "b-1", "b-2"] as const;

/** Interval in milliseconds of servers' reports. */
const HEARTBEAT_MS = 500;

/** Time in milliseconds after which a server that ended is back under another
 * id, and after which the row of one that is silent lapses. */
const BACK_MS = 700;
const LAPSE_MS = 3 * HEARTBEAT_MS;

/** Bounds that the entries are told. */
export const BOUNDS = {
  retry_budget_ratio: 0.2,
  budget_window_s: 10,
  budget_extra: 100,
  grace_s: 4,
  ttl_max_s: 2,
} as const;

/** Options of `startInstallation`. */
export interface InstallationOptions {
  /** First two numbers of the loopback addresses, and the first port. */
  readonly network: string;
  readonly firstPort: number;
  readonly entries: number;
  readonly servers: number;
  readonly random: () => number;
  /** Told when a request begins to run at a server. */
  readonly onRun: (run: RunRecord) => void;
  /** Told when a server ends under a request. */
  readonly onCrash: (serverId: string) => void;
}

/** One entry with the proxies in front of it. */
export interface SoakEntry {
  readonly name: string;
  readonly zone: string;
  readonly callers: string;
  readonly lookups: string;
  /** Its running process; undefined while there is none. */
  process: RunningProcess | undefined;
  /** Paths from callers and peers to it, and from it to the store. */
  readonly links: readonly FaultProxy[];
  readonly storeLink: FaultProxy;
  start(): Promise<void>;
}

/** One server with the proxy in front of it. */
export interface SoakServer {
  record: ServerRecord;
  readonly server: StandInServer;
  readonly link: FaultProxy;
  /** Reports to the store until it has left. */
  isReporting: boolean;
}

/** A running installation. */
export class Installation {
  readonly entries: SoakEntry[] = [];
  readonly servers: SoakServer[] = [];
  readonly #options: InstallationOptions;
  readonly #folder = mkdtempSync(join(tmpdir(), "dotterelmoor-soak-"));
  #heartbeat: NodeJS.Timeout | undefined;
  #isClosed = false;

  constructor(
    options: InstallationOptions,
    /** The store that all entries use. */
    readonly store: StandInStore,
  ) {
    this.#options = options;
  }

  async start(): Promise<void> {
    const { entries, servers } = this.#options;
    for (let index = 0; index < servers; index++) await this.addServer(index);
    for (let index = 0; index < entries; index++) await this.#addEntry(index);
    this.#heartbeat = setInterval(() => this.#report(), HEARTBEAT_MS);
    await Promise.all(this.entries.map((entry) => entry.start()));
  }

  putDocument(document: RoutingDocument): void {
    const { orders, configurationKey } = STORE_ROWS;
    this.store.put(orders, configurationKey, encodeDocument(document));
  }

  setEvacuated(zone: string, isEvacuated: boolean): void {
    const { orders, getEvacuationKey } = STORE_ROWS;
    if (isEvacuated) this.store.put(orders, getEvacuationKey(zone), {});
    else this.store.drop(orders, getEvacuationKey(zone));
  }

  async addServer(index: number): Promise<void> {
    const { random, onRun, onCrash } = this.#options;
    const id = `i-${index}`;
    const zone = ZONE_NAMES[index % ZONE_NAMES.length]!;
    const server = await startStandInServer({
      id,
      service: "desk",
      slots: 3,
      queue: 9,
      workMs: 40,
      random,
      onRun: (requestId, arrivedAtMs) =>
        onRun({
          requestId,
          serverId: id,
          region: ZONES[zone],
          arrivedAtMs,
          atMs: performance.now(),
        }),
      onCrash: () => {
        if (!added.isReporting || this.#isClosed) return;
        onCrash(id);
        this.#crash(added);
      },
    });
    const link = await startFaultProxy(
      { host: "127.0.0.1", port: 0 },
      parseEndpoint(server.address),
    );
    const record: ServerRecord = {
      id,
      service: "desk",
      address: link.address,
      zone,
      slots: 3,
      state: "ready",
      coldMs: 0,
      bornMs: Date.now(),
      sequence: 0,
    };
    const added: SoakServer = { record, server, link, isReporting: true };
    this.servers.push(added);
    this.#report();
  }

  /** Ends a server as a process that crashes: nothing listens any more, and its
   * row stays for a while. */
  #crash(server: SoakServer): void {
    server.isReporting = false;
    server.link.close();
    server.server.close();
    const { id } = server.record;
    setTimeout(() => this.store.drop(STORE_ROWS.servers, id), LAPSE_MS);
    setTimeout(() => {
      if (!this.#isClosed) void this.addServer(this.servers.length);
    }, BACK_MS);
  }

  /** Tells the store that a server drains, and later removes it. */
  drain(server: SoakServer): void {
    server.record = { ...server.record, state: "draining" };
    this.#report();
  }

  remove(server: SoakServer): void {
    server.isReporting = false;
    this.store.drop(STORE_ROWS.servers, server.record.id);
  }

  async close(): Promise<void> {
    this.#isClosed = true;
    clearInterval(this.#heartbeat);
    const running = this.entries.map((entry) => entry.process);
    for (const process of running) process?.kill();
    await Promise.all(running.map((process) => process?.exited));
    for (const { links, storeLink } of this.entries) {
      [...links, storeLink].forEach((link) => link.close());
    }
    for (const { server, link } of this.servers) {
      server.close();
      link.close();
    }
    this.store.close();
    rmSync(this.#folder, { recursive: true });
  }

  #report(): void {
    for (const server of this.servers) {
      if (!server.isReporting) continue;
      const sequence = server.record.sequence + 1;
      server.record = { ...server.record, sequence };
      const { id } = server.record;
      this.store.put(STORE_ROWS.servers, id, encodeServer(server.record));
    }
  }

  async #addEntry(index: number): Promise<void> {
    const { network, firstPort } = this.#options;
    const name = `entry-${index}`;
    const zone = ZONE_NAMES[index % ZONE_NAMES.length]!;
    // Others reach the entry through proxies at its public address.
    const ip = `${network}.1.${index + 1}`;
    const listenIp = `${network}.2.${index + 1}`;
    const [callers, readiness, lookups, peers] = [0, 1, 2, 3]
      .map((offset) => firstPort + offset) as [number, number, number, number];
    const ports = { callers, readiness, lookups, peers };
    const links = await Promise.all(
      Object.values(ports).map((port) =>
        startFaultProxy({ host: ip, port }, { host: listenIp, port })
      ),
    );
    const storeLink = await startFaultProxy(
      { host: "127.0.0.1", port: 0 },
      parseEndpoint(this.store.address),
    );
    const file = join(this.#folder, `${name}.conf`);
    const text = renderSettings({
      instance: name,
      zone,
      zones: ZONES,
      ip,
      ports,
      seedIps: [1, 2, 3].map((seed) => `${network}.1.${seed}`),
      storeAddress: storeLink.address,
      bounds: BOUNDS,
    });
    writeFileSync(file, text);
    let starting: Promise<void> | undefined;
    const launch = async () => {
      const running = await startProcess({
        script: MAIN,
        args: ["--listen-ip", listenIp],
        env: { DOTTERELMOOR_CONFIG: file },
        isReady: ({ msg }) => msg === "[edge] Listening.",
      });
      entry.process = running;
      void running.exited.then(() => {
        if (entry.process === running) entry.process = undefined;
      });
    };
    const entry: SoakEntry = {
      name,
      zone,
      callers: `${ip}:${callers}`,
      lookups: `${ip}:${lookups}`,
      process: undefined,
      links,
      storeLink,
      // Two faults of one entry may end at once.
      start: () =>
        starting ??= launch().finally(() => {
          starting = undefined;
        }),
    };
    this.entries.push(entry);
  }
}

/** Starts an installation. */
export async function startInstallation(
  options: InstallationOptions,
): Promise<Installation> {
  const store = await startStandInStore({ random: options.random });
  const installation = new Installation(options, store);
  await installation.start();
  return installation;
}

function parseEndpoint(address: string) {
  const separator = address.lastIndexOf(":");
  return {
    host: address.slice(0, separator),
    port: Number(address.slice(separator + 1)),
  };
}
