/**
 * Starts a small system of separate processes on loopback.
 *
 * @module
 */

import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import got from "got";
import { DisposableStore } from "@dotterelmoor/core.types";
import type {
  ListedInstance,
  PlatformDocument,
} from "@dotterelmoor/core.types";
import {
  makeEntryEnv,
  makeSeedsEnv,
  writeTokenFiles,
} from "./entry_environment.ts";
import { loadExampleRows } from "./example_rows.ts";
import type { ExampleName, LoadExampleRowsOptions } from "./example_rows.ts";
import { startProcess } from "./processes.ts";
import type { RunningProcess } from "./processes.ts";

const PACKAGES_URL = new URL("../../../", import.meta.url);

/** Options of `startSystem`. */
export interface SystemOptions extends LoadExampleRowsOptions {
  readonly example: ExampleName;
  /** Regions that get entries and servers; the others get none. */
  readonly regions: readonly string[];
  readonly entriesPerRegion: number;
  /** Backend servers of each service in each region. */
  readonly serversPerGroup: number;
  /** Additional command-line flags of each backend server process. */
  readonly serverFlags?: readonly string[];
  /** Additional environment variables of each entry process. */
  readonly entryEnv?: Readonly<Record<string, string>>;
  /** Milliseconds for which callers reuse a lookup; 1,000 by default. */
  readonly lookupTtlMs?: number;
  /** Directory in which each entry records a trace `<instance>.jsonl`. */
  readonly recordDirectory?: string;
}

/** A running entry. */
export interface EntryProcess {
  /** Instance id. */
  readonly instance: string;
  readonly region: string;
  readonly zone: string;
  readonly process: RunningProcess;
  /** `host:port` of the listener for callers. */
  readonly callers: string;
  /** `host:port` of the listener for peers. */
  readonly peers: string;
  /** `host:port` of the listener for operators. */
  readonly operators: string;
}

/** A running simulated backend server. */
export interface ServerProcess {
  /** Its item in the instance list. */
  readonly instance: ListedInstance;
  readonly process: RunningProcess;
  /** Base URL of its control listener. */
  readonly controlUrl: string;
}

/** A running system of processes. */
export interface RunningSystem {
  /** Base URL of the simulated platform. */
  readonly platformUrl: string;
  /** Base URL of the control listener of the simulated platform. */
  readonly platformControlUrl: string;
  /** Platform document of the example. */
  readonly platform: PlatformDocument;
  readonly entries: EntryProcess[];
  readonly servers: ServerProcess[];
  /** Starts an entry with all entries so far as seeds; it isn't listed yet. */
  startEntry(region: string, zone: string): Promise<EntryProcess>;
  /** Sets the instance list of the platform to all servers and entries. */
  publishInstances(options?: PublishOptions): Promise<void>;
  /** Sets faults of the simulated platform; the others keep their value. */
  setPlatformFaults(faults: Readonly<Record<string, unknown>>): Promise<void>;
  /** Kills all processes and removes the temporary directory. */
  stop(): Promise<void>;
}

/** Options of `publishInstances`. */
export interface PublishOptions {
  /** Ids of instances to list as leaving. */
  readonly leaving?: readonly string[];
  /** Ids of instances to omit. */
  readonly without?: readonly string[];
}

/**
 * Starts the simulated platform, the backend servers and the entries, and waits
 * until each is ready. If one does not start, stops the others and rejects.
 */
export async function startSystem(
  options: SystemOptions,
): Promise<RunningSystem> {
  const disposables = new DisposableStore();
  const directory = mkdtempSync(join(tmpdir(), "dotterelmoor-"));
  disposables.add(() => rmSync(directory, { recursive: true, force: true }));
  const files = writeTokenFiles(directory);
  const example = loadExampleRows(options.example, options);
  writeFileSync(files.rows, JSON.stringify(example.rows));
  const platform = await startProcess({
    script: resolveScript("testing/platform"),
    args: ["--initial-rows", files.rows],
  });
  disposables.add(() => stopProcess(platform));
  const platformUrl = String(platform.ready.url);
  const platformControlUrl = String(platform.ready.controlUrl);
  const entries: EntryProcess[] = [];
  const servers: ServerProcess[] = [];

  async function startEntry(
    region: string,
    zone: string,
  ): Promise<EntryProcess> {
    const instance = `entry-${region}-${entries.length + 1}`;
    const process = await startProcess({
      script: resolveScript("daemon/entry"),
      env: {
        ...makeEntryEnv(
          { ...options, instance, region, zone, platformUrl },
          files,
        ),
        ...makeSeedsEnv(entries.map(({ peers }) => peers)),
        ...options.entryEnv,
      },
    });
    disposables.add(() => stopProcess(process));
    const entry: EntryProcess = {
      instance,
      region,
      zone,
      process,
      callers: String(process.ready.callers),
      peers: String(process.ready.peers),
      operators: String(process.ready.operators),
    };
    entries.push(entry);
    return entry;
  }

  async function startServer(
    service: string,
    region: string,
    zone: string,
    number: number,
  ): Promise<void> {
    const id = `${service}-${region}-${number}`;
    const process = await startProcess({
      script: resolveScript("testing/server"),
      args: ["--name", id, ...options.serverFlags ?? []],
    });
    disposables.add(() => stopProcess(process));
    servers.push({
      process,
      controlUrl: String(process.ready.controlUrl),
      instance: {
        id,
        service,
        region,
        zone,
        address: String(process.ready.address),
        state: "live",
        slots: 3,
        connections: 650,
      },
    });
  }

  async function publishInstances(publish: PublishOptions = {}): Promise<void> {
    const listed = [
      ...servers.map((server) => server.instance),
      ...entries.map(toListedInstance),
    ].filter(({ id }) => !publish.without?.includes(id));
    await got.put(`${platformControlUrl}/instances`, {
      json: {
        instances: listed.map((instance) =>
          publish.leaving?.includes(instance.id)
            ? { ...instance, state: "leaving" }
            : instance
        ),
      },
    });
  }

  const system: RunningSystem = {
    platformUrl,
    platformControlUrl,
    platform: example.platform,
    entries,
    servers,
    startEntry,
    publishInstances,
    setPlatformFaults: async (faults) => {
      await got.post(`${platformControlUrl}/faults`, { json: faults });
    },
    stop: () => disposables.dispose(),
  };
  try {
    for (const region of options.regions) {
      const zones = example.platform.regions
        .find(({ name }) => name === region)!.zones;
      const services = example.teams.flatMap((team) => team.services);
      await Promise.all(
        services.flatMap(({ name }) =>
          Array.from(
            { length: options.serversPerGroup },
            (_, index) =>
              startServer(
                name,
                region,
                zones[index % zones.length]!,
                index + 1,
              ),
          )
        ),
      );
    }
    await publishInstances();
    for (let index = 0; index < options.entriesPerRegion; index += 1) {
      for (const region of options.regions) {
        const zones = example.platform.regions
          .find(({ name }) => name === region)!.zones;
        await startEntry(region, zones[index % zones.length]!);
      }
    }
    await publishInstances();
  } catch (error) {
    await system.stop();
    throw error;
  }
  return system;
}

function toListedInstance(entry: EntryProcess): ListedInstance {
  return {
    id: entry.instance,
    service: "dotterelmoor-entry",
    address: entry.callers,
    region: entry.region,
    zone: entry.zone,
    state: "live",
    slots: 0,
    connections: 0,
  };
}

function resolveScript(name: string): string {
  return fileURLToPath(new URL(`${name}/src/main.js`, PACKAGES_URL));
}

async function stopProcess(process: RunningProcess): Promise<void> {
  process.resume();
  process.kill();
  await process.exited;
}
