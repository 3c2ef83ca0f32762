/**
 * Drives the ownership of groups and links with table operations and peer
 * calls.
 *
 * @module
 */

import { createOwnership } from "@dotterelmoor/core.ownership";
import type {
  CloseReason,
  Ownership,
  OwnershipAction,
  OwnershipEvent,
  OwnershipIdentity,
} from "@dotterelmoor/core.ownership";
import type { DisposableStore, Random } from "@dotterelmoor/core.types";
import type { PeerPool, PromiseMessage } from "@dotterelmoor/network.peering";
import type { PlatformClient } from "@dotterelmoor/network.platform";
import type { Logger } from "pino";
import type { Clock } from "./clock.ts";
import { startInterval } from "./intervals.ts";
import { createMachineDriver } from "./machine_driver.ts";
import type { CreateMachine } from "./recording.ts";
import { createTableHandlers } from "./table_handlers.ts";

const TICK_MS = 100;
const PROMISE_TIMEOUT_MS = 1_500;

/** Options of `createOwnershipComponent`. */
export interface OwnershipComponentOptions {
  readonly identity: OwnershipIdentity;
  readonly random: Random;
  readonly clock: Clock;
  readonly platform: PlatformClient;
  readonly peers: PeerPool;
  readonly store: DisposableStore;
  readonly createMachine: CreateMachine;
  readonly log: Logger;
  readonly findAddress: (incarnation: number) => string | undefined;
  readonly onOpened: (resource: string, fence: number) => void;
  readonly onClosed: (resource: string, reason: CloseReason) => void;
  readonly onHandingOver: (resource: string) => void;
  /** The row of a resource names a successor, which is not notified yet. */
  readonly onHandedOver: (handover: ResourceHandover) => void;
  readonly onSession: (incarnation: number) => void;
  readonly onLeft: () => void;
}

/** A resource that was handed over to another incarnation. */
export interface ResourceHandover {
  readonly resource: string;
  readonly to: number;
  readonly fence: number;
}

/** Ownership of groups and links by this process. */
export interface OwnershipComponent {
  readonly ownership: Ownership;
  start(): void;
  send(event: OwnershipEvent): void;
  /** Answers a peer's request for a promise. */
  answerPromise(message: PromiseMessage): Promise<boolean>;
}

type PromiseRequest = Extract<OwnershipAction, { type: "request_promise" }>;

/** Creates the ownership of this process; `start` begins a session. */
export function createOwnershipComponent(
  options: OwnershipComponentOptions,
): OwnershipComponent {
  const { platform, log } = options;
  const ownership = options.createMachine({
    module: "ownership",
    create: createOwnership,
    options: {
      identity: options.identity,
      random: options.random,
    },
  });
  const pendingAnswers = new Map<string, (granted: boolean) => void>();

  const driver = createMachineDriver<OwnershipEvent, OwnershipAction>({
    machine: ownership,
    clock: options.clock,
    handlers: {
      ...createTableHandlers(platform, (event) => driver.send(event)),
      request_promise: (action) => {
        requestPromise(options, action).then((granted) =>
          driver.send({
            type: "promise_answered",
            resource: action.resource,
            fence: action.fence,
            requestId: action.requestId,
            granted,
          })
        );
      },
      answer_promise: ({ to, resource, requestId, granted }) => {
        const key = makeAnswerKey(to, resource, requestId);
        pendingAnswers.get(key)?.(granted);
        pendingAnswers.delete(key);
      },
      opened: ({ resource, fence }) => {
        log.info({ resource, fence }, "Resource opened.");
        options.onOpened(resource, fence);
      },
      closed: ({ resource, reason }) => {
        log.info({ resource, reason }, "Resource closed.");
        options.onClosed(resource, reason);
      },
      handing_over: ({ resource }) => options.onHandingOver(resource),
      handed_over: (handover) => options.onHandedOver(handover),
      session_started: ({ incarnation }) => {
        log.info({ incarnation }, "Session started.");
        options.onSession(incarnation);
      },
      rejoined: ({ incarnation }) => {
        log.warn({ incarnation }, "Session lost, new session started.");
        options.onSession(incarnation);
      },
      left: () => options.onLeft(),
    },
  });
  startInterval(options.store, TICK_MS, () => driver.send({ type: "tick" }));

  return {
    ownership,
    start: () => driver.send({ type: "start" }),
    send: (event) => driver.send(event),
    answerPromise: (message) =>
      new Promise((resolve) => {
        const key = makeAnswerKey(
          message.from,
          message.resource,
          message.requestId,
        );
        pendingAnswers.set(key, resolve);
        driver.send({
          type: "promise_requested",
          from: message.from,
          to: message.to,
          resource: message.resource,
          fence: message.fence,
          requestId: message.requestId,
        });
      }),
  };
}

function makeAnswerKey(
  from: number,
  resource: string,
  request: number,
): string {
  return `${from} ${resource} ${request}`;
}

async function requestPromise(
  options: OwnershipComponentOptions,
  action: PromiseRequest,
): Promise<boolean> {
  const address = options.findAddress(action.to);
  if (address === undefined) return false;
  const result = await options.peers.call(address, {
    type: "promise",
    from: action.from,
    to: action.to,
    resource: action.resource,
    fence: action.fence,
    requestId: action.requestId,
  }, { timeoutMs: PROMISE_TIMEOUT_MS });
  return result.type === "answered" &&
    result.message.type === "promise_result" && result.message.granted;
}
