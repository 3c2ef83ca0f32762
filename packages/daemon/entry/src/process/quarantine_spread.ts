/**
 * Gossips suspected and convicted requests to other entries and stores
 * convictions in the table, where new owners read them.
 *
 * @module
 */

import { makeQuarantineKey } from "@dotterelmoor/config.changing";
import type { DisposableStore, JsonValue } from "@dotterelmoor/core.types";
import type { PlatformClient } from "@dotterelmoor/network.platform";
import type { Clock } from "./clock.ts";
import { startInterval } from "./intervals.ts";
import type {
  Conviction,
  QuarantineEventSink,
} from "./quarantine_component.ts";

const SUSPECT_PREFIX = "suspects/";
const CONVICTED_PREFIX = "quarantine/";
const SUSPECT_TTL_MS = 60_000;
/** Maximum number of quarantined requests with a known service. */
const MAX_SERVICES = 10_000;
/** Interval between reads of the convictions in the table. */
const READ_INTERVAL_MS = 30_000;

/** Options of `createQuarantineSpread`. */
export interface QuarantineSpreadOptions {
  readonly clock: Clock;
  readonly platform: PlatformClient;
  readonly store: DisposableStore;
  /** Sets gossiped state that all regions receive. */
  readonly setState: (key: string, value: JsonValue, ttlMs: number) => void;
  readonly send: QuarantineEventSink;
}

/** Exchanges suspects and convictions with other entries. */
export interface QuarantineSpread {
  notifySuspect(fingerprint: string): void;
  notifyConvicted(conviction: Conviction): void;
  notifyLifted(fingerprint: string): void;
  /** Applies gossiped state from peers. */
  applyState(key: string, value: JsonValue): void;
  /** Reads the convictions stored in the table. */
  readTable(): Promise<void>;
  /** Finds the service of a quarantined request for operators. */
  findService(fingerprint: string): string | undefined;
}

interface QuarantinedService {
  readonly fingerprint: string;
  readonly service: string;
}

interface ConvictionState {
  readonly remainingMs: number;
  readonly service: string;
}

interface ConvictionRow extends QuarantinedService {
  readonly expiresWallMs: number;
}

/** Creates the exchange of suspects and convictions. */
export function createQuarantineSpread(
  options: QuarantineSpreadOptions,
): QuarantineSpread {
  const { clock, platform } = options;
  const services = new Map<string, string>();

  function recordService({ fingerprint, service }: QuarantinedService): void {
    services.set(fingerprint, service);
    if (services.size <= MAX_SERVICES) return;
    const [oldest] = services.keys();
    services.delete(oldest!);
  }

  async function writeRow(row: ConvictionRow): Promise<void> {
    const key = makeQuarantineKey(row.fingerprint);
    const read = await platform.read(key);
    if (read.type === "unavailable") return;
    await platform.transact({
      checks: [{ key, version: read.rows[0]?.version ?? 0 }],
      writes: [{ key, value: { ...row } }],
    });
  }

  async function readTable(): Promise<void> {
    const read = await platform.list(CONVICTED_PREFIX);
    if (read.type === "unavailable") return;
    for (const { value } of read.rows) {
      const row = value as unknown as ConvictionRow;
      recordService(row);
      const remainingMs = row.expiresWallMs - clock.wallMs();
      if (remainingMs > 0) {
        options.send({
          type: "convicted",
          fingerprint: row.fingerprint,
          remainingMs,
        });
      }
    }
  }

  startInterval(options.store, READ_INTERVAL_MS, () => void readTable());
  return {
    readTable,
    findService: (fingerprint) => services.get(fingerprint),
    notifySuspect: (fingerprint) =>
      options.setState(SUSPECT_PREFIX + fingerprint, true, SUSPECT_TTL_MS),
    notifyConvicted: ({ fingerprint, service, remainingMs }) => {
      options.setState(
        CONVICTED_PREFIX + fingerprint,
        { remainingMs, service },
        remainingMs,
      );
      recordService({ fingerprint, service });
      const expiresWallMs = clock.wallMs() + remainingMs;
      void writeRow({ fingerprint, service, expiresWallMs });
    },
    notifyLifted: (fingerprint) =>
      options.setState(
        CONVICTED_PREFIX + fingerprint,
        { remainingMs: 0, service: "" },
        SUSPECT_TTL_MS,
      ),
    applyState: (key, value) => {
      if (key.startsWith(SUSPECT_PREFIX)) {
        const fingerprint = key.slice(SUSPECT_PREFIX.length);
        options.send({ type: "suspected", fingerprint });
      } else if (key.startsWith(CONVICTED_PREFIX)) {
        const fingerprint = key.slice(CONVICTED_PREFIX.length);
        const { remainingMs, service } = value as unknown as ConvictionState;
        if (remainingMs > 0) recordService({ fingerprint, service });
        applyConviction(fingerprint, remainingMs, options);
      }
    },
  };
}

function applyConviction(
  fingerprint: string,
  remainingMs: number,
  options: QuarantineSpreadOptions,
): void {
  if (remainingMs > 0) {
    options.send({ type: "convicted", fingerprint, remainingMs });
  } else {
    options.send({ type: "lift", fingerprint });
  }
}
