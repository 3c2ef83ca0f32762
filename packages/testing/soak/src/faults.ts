/**
 * Faults that are injected into a running installation.
 *
 * @module
 */

import { NO_SERVER_FAULTS } from "@dotterelmoor/platform";
import { buildDocument } from "./documents.ts";
import type { Installation, SoakEntry } from "./installation.ts";
import type { FaultRecord, Records } from "./records.ts";

/** Minimum number of entries that are not killed or terminated. */
const MIN_RUNNING_ENTRIES = 2;

/** Time for which a draining server remains registered and serves requests. */
const DRAIN_MS = 3_500;

/** Time for which the store is away before it comes back from a copy, and after
 * that until the operator and the servers have written again. */
const STORE_AWAY_MS = 300;
const REWRITING_MS = 700;

/** State of a run on which faults act. */
export interface FaultContext {
  readonly installation: Installation;
  readonly records: Records;
  readonly random: () => number;
  /** Latest version that was published. */
  version: number;
}

/** Starts a fault. Returns undefined if it doesn't apply or isn't recorded. */
type FaultInjector = (context: FaultContext, entry: SoakEntry) => {
  /** True if the fault is recorded for the entry only, not for all entries. */
  readonly isLocal: boolean;
  /** Ends the fault. */
  readonly end: () => void | Promise<void>;
} | undefined;

/** Faults by kind. */
const FAULTS: Readonly<Record<string, FaultInjector>> = {
  kill: ({ installation }, entry) => {
    if (countRunning(installation) <= MIN_RUNNING_ENTRIES) return undefined;
    const { process: running } = entry;
    running?.kill();
    return { isLocal: true, end: () => restart(entry, running) };
  },
  terminate: ({ installation }, entry) => {
    if (countRunning(installation) <= MIN_RUNNING_ENTRIES) return undefined;
    const { process: running } = entry;
    running?.terminate();
    return { isLocal: true, end: () => restart(entry, running) };
  },
  pause: (_context, entry) => {
    entry.process?.freeze();
    return { isLocal: true, end: () => entry.process?.resume() };
  },
  delay: (_context, entry) => {
    entry.links.forEach((link) => link.setFaults({ delayMs: 60 }));
    return {
      isLocal: true,
      end: () => entry.links.forEach((link) => link.setFaults({ delayMs: 0 })),
    };
  },
  cut: ({ random }, entry) => {
    const side = random() < 0.5 ? "cutsCallers" : "cutsTarget";
    entry.links.forEach((link) => link.setFaults({ [side]: true }));
    return {
      isLocal: true,
      end: () =>
        entry.links.forEach((link) => link.setFaults({ [side]: false })),
    };
  },
  silence: (_context, entry) => {
    entry.links.forEach((link) => link.silence());
    return { isLocal: true, end: () => {} };
  },
  reset: (_context, entry) => {
    entry.links.forEach((link) => link.reset());
    return { isLocal: true, end: () => {} };
  },
  store_cut: (_context, entry) => {
    entry.storeLink.setFaults({ cutsCallers: true });
    return {
      isLocal: true,
      end: () => {
        entry.storeLink.setFaults({ cutsCallers: false });
        entry.storeLink.reset();
      },
    };
  },
  store_down: ({ installation: { store } }) => {
    store.setFaults({ isDown: true });
    return { isLocal: false, end: () => store.setFaults({ isDown: false }) };
  },
  store_slow: ({ installation: { store } }) => {
    store.setFaults({ delayMs: 300 });
    return { isLocal: false, end: () => store.setFaults({ delayMs: 0 }) };
  },
  store_lost: ({ installation: { store } }) => {
    store.setFaults({ lostShare: 0.5 });
    return { isLocal: false, end: () => store.setFaults({ lostShare: 0 }) };
  },
  store_compact: ({ installation: { store } }) => {
    store.compact();
    return { isLocal: false, end: () => {} };
  },
  // Loses what was written since the start of the fault.
  store_copy: ({ installation }) => {
    installation.store.copy();
    return {
      isLocal: false,
      end: async () => {
        installation.store.setFaults({ isDown: true });
        await wait(STORE_AWAY_MS);
        installation.bringStoreBack();
        installation.store.setFaults({ isDown: false });
        await wait(REWRITING_MS);
      },
    };
  },
  server_lost: (context) => setServerFaults(context, { lostShare: 0.4 }),
  server_slow: (context) => setServerFaults(context, { slowness: 8 }),
  server_shed: (context) => setServerFaults(context, { shedShare: 0.5 }),
  // Refuses the requests for its old row, which stays for a while, and repeats
  // refusals.
  server_restart: (context) => {
    const server = pickServer(context);
    if (!server.isReporting) return undefined;
    const restarting = context.installation.restartServer(server);
    void restarting.then((restarted) =>
      restarted.server.setFaults({ copyShare: 0.5 })
    );
    return {
      isLocal: false,
      end: async () => (await restarting).server.setFaults(NO_SERVER_FAULTS),
    };
  },
  server_copies: (context) =>
    setServerFaults(context, { shedShare: 0.3, copyShare: 0.5 }),
  server_failing: (context) => setServerFaults(context, { failedShare: 0.3 }),
  server_reset: (context) => {
    pickServer(context).link.reset();
    return { isLocal: false, end: () => {} };
  },
  server_drain: (context) => {
    const { installation, records } = context;
    const server = pickServer(context);
    if (!server.isReporting || server.record.state === "draining") {
      return undefined;
    }
    installation.drain(server);
    records.changes.push({
      kind: "draining",
      subject: server.record.id,
      atMs: performance.now(),
    });
    setTimeout(() => installation.remove(server), DRAIN_MS);
    void installation.addServer(installation.servers.length);
    return { isLocal: true, end: () => {} };
  },
  document: (context) => {
    putDocument(context);
    return undefined;
  },
  evacuate: ({ installation, random }) => {
    const zone = random() < 0.5 ? "a-1" : "b-2";
    installation.setEvacuated(zone, true);
    return {
      isLocal: true,
      end: () => installation.setEvacuated(zone, false),
    };
  },
};

/** Publishes and records the next version of the routing document. */
export function putDocument(context: FaultContext): void {
  context.version += 1;
  context.installation.putDocument(buildDocument(context.version));
  context.records.changes.push({
    kind: "document",
    subject: String(context.version),
    atMs: performance.now(),
  });
}

/** Injects a random fault for the given time and resolves when it has ended. */
export async function injectFault(
  context: FaultContext,
  durationMs: number,
): Promise<void> {
  const { random, installation, records } = context;
  const kinds = Object.keys(FAULTS);
  const kind = kinds[Math.floor(random() * kinds.length)]!;
  const { entries } = installation;
  const entry = entries[Math.floor(random() * entries.length)]!;
  const fault = FAULTS[kind]!(context, entry);
  if (fault === undefined) return;
  const record: FaultRecord = {
    kind,
    entries: fault.isLocal ? [entry.name] : [],
    fromMs: performance.now(),
    untilMs: Infinity,
  };
  records.faults.push(record);
  await wait(durationMs);
  await fault.end();
  record.untilMs = performance.now();
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

function countRunning({ entries }: Installation): number {
  return entries.filter((entry) => entry.process !== undefined).length;
}

/** Waits until the process that a fault stopped has exited, and starts the entry
 * again unless another fault has done so. */
async function restart(
  entry: SoakEntry,
  stopped: SoakEntry["process"],
): Promise<void> {
  stopped?.resume();
  await stopped?.exited;
  if (entry.process === undefined) await entry.start();
}

function pickServer({ installation, random }: FaultContext) {
  const { servers } = installation;
  return servers[Math.floor(random() * servers.length)]!;
}

function setServerFaults(
  context: FaultContext,
  faults: Parameters<Installation["servers"][number]["server"]["setFaults"]>[0],
) {
  const { server } = pickServer(context);
  server.setFaults(faults);
  return {
    isLocal: false,
    end: () => server.setFaults(NO_SERVER_FAULTS),
  };
}
