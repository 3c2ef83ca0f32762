/**
 * Finds other entries through the store when no seed answers.
 *
 * Calls to the store are billed, so only the readers register themselves, and
 * only readers and entries that know no others search there.
 *
 * @module
 */

import type { DisposableStore } from "@dotterelmoor/core.types";
import type { Logger } from "pino";
import type { CatalogStore } from "../ports.ts";
import { runRepeatedly } from "./intervals.ts";

/** Pauses in milliseconds before each search. Seeds answer within the first few
 * hundred milliseconds; later searches join groups of entries that do not know
 * each other. */
const PAUSES_MS = [300, 700, 2_000, 5_000, 15_000];

/** Pause in milliseconds before a failed registration is tried again, once the
 * store has lost the earlier one. */
const RETRY_MS = 800;

/** Options of `startRegistration`. */
export interface RegistrationOptions {
  readonly source: CatalogStore;
  readonly instance: string;
  readonly peerAddress: string;
  /** Adds peer addresses of entries to contact. */
  readonly addSeeds: (addresses: readonly string[]) => void;
  /** True while this entry reads the store for its region. */
  readonly isReading: () => boolean;
  /** True while no other live entry is known. */
  readonly isAlone: () => boolean;
  readonly store: DisposableStore;
  readonly log: Logger;
}

/** Registration of this entry in the store. */
export interface Registration {
  /** Registers this entry again if it was registered: the store has come back
   * from an older copy. Returns whether it does. */
  renew(): boolean;
}

/** Starts registering this entry and searching for others, until the store is
 * disposed of. */
export function startRegistration(options: RegistrationOptions): Registration {
  const { store, log } = options;
  let searches = 0;
  let isRegistered = false;
  let stopped = false;
  const isStopped = () => stopped;
  const search = async () => {
    const pauseMs = PAUSES_MS[Math.min(searches, PAUSES_MS.length - 1)]!;
    searches += 1;
    // Seeds have time to answer before the first search.
    if (searches === 1) return pauseMs;
    if (options.isReading() && !isRegistered) {
      isRegistered = await register(options);
    }
    if (options.isReading() || options.isAlone()) await findOthers(options);
    return pauseMs;
  };
  void runRepeatedly(search, { isStopped, log });
  store.add(() => {
    stopped = true;
  });
  return {
    renew: () => {
      if (!isRegistered) return false;
      isRegistered = false;
      void runRepeatedly(async () => {
        isRegistered ||= await register(options);
        return RETRY_MS;
      }, { isStopped: () => stopped || isRegistered, log });
      return true;
    },
  };
}

async function register(options: RegistrationOptions): Promise<boolean> {
  const { source, instance, peerAddress, log } = options;
  const written = await source.registerEntry(instance, peerAddress);
  if (written.isErr()) {
    log.warn({ code: written.error.code }, "Failed to register in the store.");
  }
  return written.isOk();
}

async function findOthers(options: RegistrationOptions): Promise<void> {
  const { source, addSeeds, log } = options;
  const listed = await source.listEntries();
  if (listed.isOk()) addSeeds(listed.value);
  else log.warn({ code: listed.error.code }, "Failed to list entries.");
}
