/**
 * Runs a request in a target region: locally if this process owns the group,
 * otherwise by a peer call to the owner.
 *
 * @module
 */

import { buildGroupKey } from "@dotterelmoor/core.steering";
import type { Target } from "@dotterelmoor/core.steering";
import type { Outcome } from "@dotterelmoor/core.types";
import type { CallResult, PeerPool } from "@dotterelmoor/network.peering";
import type { Groups } from "../process/groups.ts";
import type { LinkComponent } from "../process/link_component.ts";
import type { Execution } from "./execution.ts";
import { computeFrameBytes, LINK_WAIT_MS } from "./link_limits.ts";
import { makeNotRun } from "./not_run.ts";

/** Wait that refusals made by this module suggest to the caller. */
const RETRY_AFTER_MS = 200;
/** Subtracted from the deadline of a peer call to allow for transit. */
const TRANSIT_ALLOWANCE_MS = 20;

/** Options of `createTargetRunner`. */
export interface TargetRunnerOptions {
  readonly region: string;
  readonly nowMs: () => number;
  readonly groups: Groups;
  readonly links: LinkComponent;
  readonly peers: PeerPool;
  /** Finds the peer address of a resource's owner, if it is known. */
  readonly findOwnerAddress: (resource: string) => string | undefined;
}

/** Runs a request at a target. */
export type TargetRunner = (
  target: Target,
  execution: Execution,
  signal: AbortSignal,
) => Promise<Outcome>;

/** Creates the runner of requests at targets. */
export function createTargetRunner(options: TargetRunnerOptions): TargetRunner {
  async function callOwner(
    address: string,
    execution: Execution,
    signal: AbortSignal,
  ): Promise<Outcome> {
    const deadlineMs = execution.deadlineAtMs - options.nowMs() -
      TRANSIT_ALLOWANCE_MS;
    if (deadlineMs <= 0) {
      return makeNotRun("deadline-too-short", RETRY_AFTER_MS);
    }
    const { deadlineAtMs: _, ...rest } = execution;
    const result = await options.peers.call(
      address,
      { type: "exec", ...rest, deadlineMs },
      { timeoutMs: deadlineMs + TRANSIT_ALLOWANCE_MS, signal },
    );
    return toOutcome(result);
  }

  return async (target, execution, signal) => {
    const group = target.region === options.region
      ? options.groups.find(execution.service)
      : undefined;
    if (group !== undefined) return group.execute(execution, signal);
    const address = target.address ??
      options.findOwnerAddress(buildGroupKey(execution.service, target.region));
    if (address === undefined) {
      return makeNotRun("group-closed", RETRY_AFTER_MS);
    }
    if (target.region !== options.region) {
      const isPermitted = await options.links.takeBytes({
        to: target.region,
        service: execution.service,
        bytes: computeFrameBytes(execution),
        untilMs: options.nowMs() + LINK_WAIT_MS,
      });
      if (!isPermitted) return makeNotRun("link-budget", RETRY_AFTER_MS);
    }
    const outcome = await callOwner(address, execution, signal);
    if (outcome.type !== "not-run" || outcome.ownerHint === undefined) {
      return outcome;
    }
    return callOwner(outcome.ownerHint, execution, signal);
  };
}

function toOutcome(result: CallResult): Outcome {
  switch (result.type) {
    case "answered":
      return result.message.type === "exec_result"
        ? result.message.outcome
        : { type: "unknown", reason: "peer-lost" };
    case "not_sent":
      return makeNotRun("peer-unreachable", RETRY_AFTER_MS);
    case "lost":
      return { type: "unknown", reason: "peer-lost" };
    case "cancelled":
      return { type: "unknown", reason: "caller-left" };
  }
}
