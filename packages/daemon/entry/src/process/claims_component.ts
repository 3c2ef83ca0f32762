/**
 * Drives the claims on idempotency keys with table operations.
 *
 * @module
 */

import { createClaims } from "@dotterelmoor/core.claiming";
import type { ClaimsAction, ClaimsEvent } from "@dotterelmoor/core.claiming";
import type { DisposableStore } from "@dotterelmoor/core.types";
import type { PlatformClient } from "@dotterelmoor/network.platform";
import type { Clock } from "./clock.ts";
import { createMachineDriver } from "./machine_driver.ts";
import type { CreateMachine } from "./recording.ts";
import { createTableHandlers } from "./table_handlers.ts";

/** Options of `createClaimsComponent`. */
export interface ClaimsComponentOptions {
  readonly clock: Clock;
  readonly platform: PlatformClient;
  readonly store: DisposableStore;
  readonly createMachine: CreateMachine;
}

/** A claim to make for a request. */
export interface ClaimRequest {
  readonly requestId: string;
  readonly service: string;
  readonly key: string;
  readonly fingerprint: string;
  readonly expiresAtMs: number;
}

/** Result of a claim. */
export type ClaimResult =
  | { readonly type: "claimed" }
  | Extract<ClaimsAction, { type: "refused" }>["outcome"];

/** Claims of this process. */
export interface ClaimsComponent {
  claim(request: ClaimRequest): Promise<ClaimResult>;
  /** Releases the key; the request certainly did not run. */
  release(requestId: string): void;
  /** Keeps the key claimed; the request ran or may have run. */
  finish(requestId: string): void;
  setIncarnation(incarnation: number): void;
  /** Number of claims and releases that are not settled. */
  pending(): number;
}

/** Creates the claims of the process. */
export function createClaimsComponent(
  options: ClaimsComponentOptions,
): ClaimsComponent {
  const { clock, platform } = options;
  const claims = options.createMachine({
    module: "claiming",
    create: createClaims,
    options: {},
  });
  const pendingClaims = new Map<string, (result: ClaimResult) => void>();

  function settle(requestId: string, result: ClaimResult): void {
    pendingClaims.get(requestId)?.(result);
    pendingClaims.delete(requestId);
  }

  const driver = createMachineDriver<ClaimsEvent, ClaimsAction>({
    machine: claims,
    clock,
    wake: {
      nextMs: () => claims.nextTickMs(),
      event: { type: "tick" },
      store: options.store,
    },
    handlers: {
      ...createTableHandlers(platform, (event) => driver.send(event)),
      claimed: ({ requestId }) => settle(requestId, { type: "claimed" }),
      refused: ({ requestId, outcome }) => settle(requestId, outcome),
    },
  });
  return {
    claim: (request) =>
      new Promise((resolve) => {
        pendingClaims.set(request.requestId, resolve);
        driver.send({ type: "claim", ...request });
      }),
    release: (requestId) => driver.send({ type: "release", requestId }),
    finish: (requestId) => driver.send({ type: "finish", requestId }),
    setIncarnation: (incarnation) =>
      driver.send({ type: "session", incarnation }),
    pending: () => claims.pending(),
  };
}
