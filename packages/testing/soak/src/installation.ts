/**
 * Starts real entry processes, stand-ins of the store and the backend servers,
 * and proxies on every path between them.
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

const ENTRY_SCRIPT = fileURLToPath(
  import.meta.resolve("@dotterelmoor/platform"),
)
  .replace(/mod\.[jt]s$/, "main.js");

const ZONES = { "a-1": "a", "a-2": "a", "b-1": "b", "b-2": "b" } as const;
const ZONE_NAMES = ["a-1", "a-2", "b-1", "b-2"] as const;

/** Era that the store states until it comes back from a copy. */
const FIRST_ERA = 3;

/** Interval at which servers write their rows. */
const HEARTBEAT_MS = 500;

/** Time after which a crashed server is replaced by one with another id. */
const REPLACEMENT_DELAY_MS = 700;

/** Time after which the operator writes again what the store has lost. */
const OPERATOR_MS = 300;

/** Time after which the row of a crashed server is removed. */
const ROW_EXPIRY_MS = 3 * HEARTBEAT_MS;

/** Limits in the settings of the entries. */
export const BOUNDS = {
  retry_budget_ratio: 0.2,
  budget_window_s: 10,
  budget_extra: 100,
  grace_s: 4,
  ttl_max_s: 2,
} as const;

/** Options of `startInstallation`. */
export interface InstallationOptions {
  /** First two octets of the entries' loopback addresses. */
  readonly network: string;
  /** First of four consecutive ports that each entry uses. */
  readonly firstPort: number;
  /** Number of entry processes. */
  readonly entries: number;
  /** Number of backend servers. */
  readonly servers: number;
  /** Random numbers from 0 to less than 1. */
  readonly random: () => number;
  /** Called when a request begins to run at a server. */
  readonly onRun: (run: RunRecord) => void;
  /** Called when a request crashes a server. */
  readonly onCrash: (serverId: string) => void;
}

/** An entry and its proxies. */
export interface SoakEntry {
  readonly name: string;
  readonly zone: string;
  /** `host:port` of the callers' listener. */
  readonly callers: string;
  /** `host:port` of the lookup listener. */
  readonly lookups: string;
  /** The running process; undefined while the entry is stopped. */
  process: RunningProcess | undefined;
  /** Proxies in front of the entry's listeners. */
  readonly links: readonly FaultProxy[];
  /** Proxy between the entry and the store. */
  readonly storeLink: FaultProxy;
  /** Starts the process and resolves when it listens for callers. */
  start(): Promise<void>;
}

/** A backend server and the proxy in front of it. */
export interface SoakServer {
  record: ServerRecord;
  readonly server: StandInServer;
  readonly link: FaultProxy;
  /** True until the server is removed or has crashed. */
  isReporting: boolean;
}

/** The entries, backend servers, store and proxies of a run. */
export class Installation {
  readonly entries: SoakEntry[] = [];
  readonly servers: SoakServer[] = [];
  readonly #options: InstallationOptions;
  readonly #directory = mkdtempSync(join(tmpdir(), "dotterelmoor-soak-"));
  #heartbeat: NodeJS.Timeout | undefined;
  #isClosed = false;
  #document: RoutingDocument | undefined;
  readonly #evacuated = new Set<string>();

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

  /** Publishes a version of the routing document. */
  putDocument(document: RoutingDocument): void {
    this.#document = document;
    const { orders, configurationKey } = STORE_ROWS;
    this.store.put(orders, configurationKey, encodeDocument(document));
  }

  /** Sets or withdraws the evacuation of a zone. */
  setEvacuated(zone: string, isEvacuated: boolean): void {
    const { orders, getEvacuationKey } = STORE_ROWS;
    if (isEvacuated) {
      this.#evacuated.add(zone);
      this.store.put(orders, getEvacuationKey(zone), {});
    } else {
      this.#evacuated.delete(zone);
      this.store.drop(orders, getEvacuationKey(zone));
    }
  }

  /** Brings the store back from its copy. The operator and the servers write
   * again what it has lost, and the rows of ended servers expire again. */
  bringStoreBack(): void {
    const { store } = this;
    store.comeBack();
    setTimeout(() => {
      if (this.#isClosed) return;
      if (this.#document !== undefined) this.putDocument(this.#document);
      for (const zone of ZONE_NAMES) {
        this.setEvacuated(zone, this.#evacuated.has(zone));
      }
    }, OPERATOR_MS);
    setTimeout(() => {
      if (!this.#isClosed) this.#dropEnded();
    }, ROW_EXPIRY_MS);
  }

  #dropEnded(): void {
    const reporting = new Set(
      this.servers.filter(({ isReporting }) => isReporting)
        .map(({ record }) => record.id),
    );
    for (const id of this.store.listKeys(STORE_ROWS.servers)) {
      if (!reporting.has(id)) this.store.drop(STORE_ROWS.servers, id);
    }
  }

  /** Starts a backend server and registers it in the store. */
  async addServer(index: number): Promise<void> {
    const id = `i-${index}`;
    const zone = ZONE_NAMES[index % ZONE_NAMES.length]!;
    await this.#startServer(id, zone);
  }

  /**
   * Ends a server's process and starts it again at the same address, with
   * another id. Its old row stays for a while.
   */
  async restartServer(old: SoakServer): Promise<SoakServer> {
    old.isReporting = false;
    const { id, zone } = old.record;
    setTimeout(() => this.store.drop(STORE_ROWS.servers, id), ROW_EXPIRY_MS);
    const restarted = await this.#startServer(`${id}r`, zone, old.link);
    old.server.close();
    return restarted;
  }

  /** Starts a server behind a new proxy, or behind the one of a former server
   * at its address. */
  async #startServer(
    id: string,
    zone: string,
    formerLink?: FaultProxy,
  ): Promise<SoakServer> {
    const { random, onRun, onCrash } = this.#options;
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
          region: ZONES[zone as keyof typeof ZONES],
          arrivedAtMs,
          atMs: performance.now(),
        }),
      onCrash: () => {
        if (!added.isReporting || this.#isClosed) return;
        onCrash(id);
        this.#crash(added);
      },
    });
    const endpoint = parseEndpoint(server.address);
    formerLink?.setTarget(endpoint);
    const link = formerLink ??
      await startFaultProxy({ host: "127.0.0.1", port: 0 }, endpoint);
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
    return added;
  }

  /**
   * Simulates the crash of a server process: its listener closes at once, but
   * its row stays for a while. Another server replaces it later.
   */
  #crash(server: SoakServer): void {
    server.isReporting = false;
    server.link.close();
    server.server.close();
    const { id } = server.record;
    setTimeout(() => this.store.drop(STORE_ROWS.servers, id), ROW_EXPIRY_MS);
    setTimeout(() => {
      if (!this.#isClosed) void this.addServer(this.servers.length);
    }, REPLACEMENT_DELAY_MS);
  }

  /** Reports a server as draining. It still serves requests. */
  drain(server: SoakServer): void {
    server.record = { ...server.record, state: "draining" };
    this.#report();
  }

  /** Removes a server's row from the store. */
  remove(server: SoakServer): void {
    server.isReporting = false;
    this.store.drop(STORE_ROWS.servers, server.record.id);
  }

  /** Stops all processes, servers and proxies. */
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
    rmSync(this.#directory, { recursive: true });
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
    // Callers and other entries connect to proxies at the entry's public address.
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
    const file = join(this.#directory, `${name}.conf`);
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
        script: ENTRY_SCRIPT,
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
      // Two faults of an entry may end, and restart it, at the same time.
      start: () =>
        starting ??= launch().finally(() => {
          starting = undefined;
        }),
    };
    this.entries.push(entry);
  }
}

/** Starts an installation and resolves when all entries listen for callers. */
export async function startInstallation(
  options: InstallationOptions,
): Promise<Installation> {
  const store = await startStandInStore({
    random: options.random,
    firstEra: FIRST_ERA,
  });
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
