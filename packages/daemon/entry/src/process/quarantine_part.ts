/**
 * Admits requests to the groups owned here and keeps crashing ones out.
 *
 * @module
 */

import { createQuarantine } from "@dotterelmoor/core.quarantine";
import type {
  Quarantine,
  QuarantineAction,
  QuarantineEvent,
} from "@dotterelmoor/core.quarantine";
import type { DisposableStore } from "@dotterelmoor/core.types";
import type { Logger } from "pino";
import type { Clock } from "./clock.ts";
import { startInterval } from "./intervals.ts";
import { createMachineDriver } from "./machine_driver.ts";

const TICK_MS = 200;

/** What a group does with a request that asked to run. */
export interface AdmissionHandler {
  run(trial: boolean): void;
  recall(): void;
  refuse(retryAfterMs: number): void;
}

/** Takes events for the quarantine. */
export type QuarantineEventSink = (event: QuarantineEvent) => void;

/** Options of `createQuarantinePart`. */
export interface QuarantinePartOptions {
  readonly clock: Clock;
  readonly store: DisposableStore;
  readonly log: Logger;
  readonly onSuspect: (fingerprint: string) => void;
  readonly onConvicted: (fingerprint: string, remainingMs: number) => void;
  readonly onLifted: (fingerprint: string) => void;
}

/** Quarantine of this process, shared by its groups. */
export interface QuarantinePart {
  readonly quarantine: Quarantine;
  readonly send: QuarantineEventSink;
  admit(id: string, fingerprint: string, handler: AdmissionHandler): void;
  /** Ends the admission of a request. */
  release(id: string): void;
}

/** Creates the quarantine of this process. */
export function createQuarantinePart(
  options: QuarantinePartOptions,
): QuarantinePart {
  const quarantine = createQuarantine({});
  const handlers = new Map<string, AdmissionHandler>();
  const driver = createMachineDriver<QuarantineEvent, QuarantineAction>({
    machine: quarantine,
    clock: options.clock,
    handlers: {
      run: ({ id, trial }) => handlers.get(id)?.run(trial),
      recall: ({ id }) => handlers.get(id)?.recall(),
      refuse: ({ id, retryAfterMs }) => handlers.get(id)?.refuse(retryAfterMs),
      notify_suspect: ({ fingerprint }) => options.onSuspect(fingerprint),
      notify_convicted: ({ fingerprint, remainingMs }) => {
        options.log.warn({ fingerprint }, "Request quarantined.");
        options.onConvicted(fingerprint, remainingMs);
      },
      notify_lifted: ({ fingerprint }) => options.onLifted(fingerprint),
    },
  });
  startInterval(options.store, TICK_MS, () => driver.send({ type: "tick" }));
  return {
    quarantine,
    send: (event) => driver.send(event),
    admit: (id, fingerprint, handler) => {
      handlers.set(id, handler);
      driver.send({ type: "admit", id, fingerprint });
    },
    release: (id) => {
      handlers.delete(id);
      driver.send({ type: "release", id });
    },
  };
}
