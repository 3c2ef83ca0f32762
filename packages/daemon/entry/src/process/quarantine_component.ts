/**
 * Admits requests to the groups of this process, except those that are
 * quarantined for crashing backend servers.
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
import { createMachineDriver } from "./machine_driver.ts";
import type { CreateMachine } from "./recording.ts";

/** Callbacks of a group for a request that waits for admission. */
export interface AdmissionHandler {
  /** Dispatches the request; a trial runs alone on its server. */
  run(trial: boolean): void;
  /** Removes the request from the dispatcher's queue; `run` follows later. */
  recall(): void;
  /** Answers the request as quarantined. */
  refuse(retryAfterMs: number): void;
}

/** A request to admit. */
export interface Admission {
  readonly id: string;
  readonly fingerprint: string;
  readonly service: string;
}

/** Receives events for the quarantine. */
export type QuarantineEventSink = (event: QuarantineEvent) => void;

/** A request that is quarantined for crashing backend servers. */
export interface Conviction {
  readonly fingerprint: string;
  /** Empty if the service is not known. */
  readonly service: string;
  readonly remainingMs: number;
}

/** Options of `createQuarantineComponent`. */
export interface QuarantineComponentOptions {
  readonly clock: Clock;
  readonly store: DisposableStore;
  readonly createMachine: CreateMachine;
  readonly log: Logger;
  readonly onSuspect: (fingerprint: string) => void;
  readonly onConvicted: (conviction: Conviction) => void;
  readonly onLifted: (fingerprint: string) => void;
}

/** Quarantine of this process, shared by its groups. */
export interface QuarantineComponent {
  readonly quarantine: Quarantine;
  readonly send: QuarantineEventSink;
  admit(admission: Admission, handler: AdmissionHandler): void;
  /** Ends the admission of a request. */
  release(id: string): void;
}

interface ActiveAdmission extends AdmissionHandler {
  readonly service: string;
  readonly fingerprint: string;
}

/** Creates the quarantine of this process. */
export function createQuarantineComponent(
  options: QuarantineComponentOptions,
): QuarantineComponent {
  const quarantine = options.createMachine({
    module: "quarantine",
    create: createQuarantine,
    options: {},
  });
  const handlers = new Map<string, ActiveAdmission>();
  const driver = createMachineDriver<QuarantineEvent, QuarantineAction>({
    machine: quarantine,
    clock: options.clock,
    wake: {
      nextMs: () => quarantine.nextWakeMs(),
      event: { type: "tick" },
      store: options.store,
    },
    handlers: {
      run: ({ id, trial }) => handlers.get(id)?.run(trial),
      recall: ({ id }) => handlers.get(id)?.recall(),
      refuse: ({ id, retryAfterMs }) => handlers.get(id)?.refuse(retryAfterMs),
      notify_suspect: ({ fingerprint }) => options.onSuspect(fingerprint),
      notify_convicted: ({ fingerprint, remainingMs }) => {
        const service = findService(fingerprint);
        options.log.warn({ fingerprint, service }, "Request quarantined.");
        options.onConvicted({ fingerprint, service, remainingMs });
      },
      notify_lifted: ({ fingerprint }) => options.onLifted(fingerprint),
    },
  });

  /** Finds the service of a request that was just convicted and is still
   * admitted. */
  function findService(fingerprint: string): string {
    for (const admission of handlers.values()) {
      if (admission.fingerprint === fingerprint) return admission.service;
    }
    return "";
  }

  return {
    quarantine,
    send: (event) => driver.send(event),
    admit: ({ id, fingerprint, service }, handler) => {
      handlers.set(id, { ...handler, service, fingerprint });
      driver.send({ type: "admit", id, fingerprint });
    },
    release: (id) => {
      handlers.delete(id);
      driver.send({ type: "release", id });
    },
  };
}
