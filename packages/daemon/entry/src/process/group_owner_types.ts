/**
 * Options and interface of a group owner.
 *
 * @module
 */

import type {
  Dispatcher,
  ListedServer,
  ServerSource,
  ServerState,
} from "@dotterelmoor/core.dispatching";
import type { ShiftGate } from "@dotterelmoor/core.shifting";
import type {
  DisposableStore,
  Outcome,
  Random,
  ServiceDocument,
} from "@dotterelmoor/core.types";
import type { BackendClient } from "@dotterelmoor/network.backend";
import type { Execution } from "../request/execution.ts";
import type { Clock } from "./clock.ts";
import type { QuarantineComponent } from "./quarantine_component.ts";
import type { CreateMachine } from "./recording.ts";

/** Options of `createGroupOwner`. */
export interface GroupOwnerOptions {
  readonly service: string;
  readonly region: string;
  readonly fence: number;
  readonly document: ServiceDocument;
  readonly clock: Clock;
  readonly random: Random;
  readonly backend: BackendClient;
  readonly quarantine: QuarantineComponent;
  readonly store: DisposableStore;
  readonly createMachine: CreateMachine;
  /** Time on the process's clock at which authority over the group ends. */
  readonly authorityUntilMs: () => number;
  /** Called after `close` as soon as no request is in flight. */
  readonly onIdle: () => void;
}

/** Owner of one target group. */
export interface GroupOwner {
  readonly service: string;
  readonly region: string;
  readonly fence: number;
  readonly dispatcher: Dispatcher;
  readonly gate: ShiftGate;
  /** Runs a request; the signal aborts when the caller no longer waits. */
  execute(execution: Execution, signal: AbortSignal): Promise<Outcome>;
  setDocument(document: ServiceDocument): void;
  setServers(servers: readonly ListedServer[]): void;
  setOperatorDrains(instances: readonly string[]): void;
  reportServer(server: string, source: ServerSource, state: ServerState): void;
  tick(): void;
  /** Stops dispatching; requests in flight run to their end. */
  close(): void;
}
