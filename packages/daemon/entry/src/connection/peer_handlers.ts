/**
 * Handlers of peer messages by type.
 *
 * @module
 */

import type { NotRun, Outcome } from "@dotterelmoor/core.types";
import type {
  ExecMessage,
  PeerHandlers,
  PeerMessage,
} from "@dotterelmoor/network.peering";
import { waitForSocketReads } from "@dotterelmoor/network.timing";
import type { ConfigurationComponent } from "../process/configuration_component.ts";
import type { Groups } from "../process/groups.ts";
import type { LinkComponent } from "../process/link_component.ts";
import { applyMembershipMessage } from "../process/membership_component.ts";
import type { MembershipComponent } from "../process/membership_component.ts";
import type { OwnershipComponent } from "../process/ownership_component.ts";
import type { Execution } from "../request/execution.ts";
import type { CallerRequest } from "../request/front.ts";
import { computeFrameBytes } from "../request/link_limits.ts";

/** Subtracted from the deadline of an answer to allow for transit. */
const ANSWER_TRANSIT_MS = 5;

/** Options of `createPeerHandlers`. */
export interface PeerHandlersOptions {
  readonly region: string;
  readonly nowMs: () => number;
  readonly groups: Groups;
  readonly links: LinkComponent;
  readonly ownership: OwnershipComponent;
  readonly membership: MembershipComponent;
  readonly configuration: ConfigurationComponent;
  readonly runSubmitted: (
    request: CallerRequest,
    signal: AbortSignal,
  ) => Promise<Outcome>;
  readonly findOwnerAddress: (service: string) => string | undefined;
}

/** Creates the handlers of peer messages. */
export function createPeerHandlers(options: PeerHandlersOptions): PeerHandlers {
  const { configuration, links, membership, ownership } = options;
  return {
    exec: async (message, { signal }) =>
      makeExecResult(await runExecution(options, message, signal)),
    submit: async (message, { signal, peer }) => {
      const deadlineAtMs = options.nowMs() + message.deadlineMs;
      const outcome = await options.runSubmitted(message, signal);
      const submission = { ...message, deadlineAtMs, frontRegion: peer.region };
      return makeExecResult(await sendOverLink(options, submission, outcome));
    },
    promise: async (message) => ({
      type: "promise_result",
      granted: await ownership.answerPromise(message),
    }),
    permit: (message) => {
      const rate = links.grantPermit(message);
      return Promise.resolve({
        type: "permit_result",
        granted: rate !== undefined,
        rate: rate ?? 0,
      });
    },
    handover: ({ resource }) => {
      ownership.send({ type: "row_changed", resource });
      return Promise.resolve(undefined);
    },
    membership: ({ message }) => {
      applyMembershipMessage(membership, message);
      return Promise.resolve(undefined);
    },
    config_push: ({ snapshot }) => {
      configuration.send({ type: "snapshot", snapshot, source: "peer" });
      return Promise.resolve(undefined);
    },
    config_pull: ({ sequence }) =>
      Promise.resolve(configuration.answerPull(sequence)),
  };
}

function makeExecResult(outcome: Outcome): PeerMessage {
  return { type: "exec_result", outcome };
}

async function runExecution(
  options: PeerHandlersOptions,
  message: ExecMessage,
  signal: AbortSignal,
): Promise<Outcome> {
  const group = options.groups.find(message.service);
  if (group === undefined) return makeNotOwnerOutcome(options, message.service);
  const { type: _type, deadlineMs, ...rest } = message;
  const deadlineAtMs = options.nowMs() + deadlineMs;
  const execution: Execution = { ...rest, deadlineAtMs };
  // A cancellation of the call may have arrived, but is read after the call.
  await waitForSocketReads();
  const outcome = await group.execute(execution, signal);
  return await sendOverLink(options, execution, outcome);
}

/** Delays an answer until the link's budget allows it, up to the deadline. */
async function sendOverLink(
  options: PeerHandlersOptions,
  execution: Pick<Execution, "deadlineAtMs" | "frontRegion" | "service">,
  outcome: Outcome,
): Promise<Outcome> {
  if (outcome.type !== "answered") return outcome;
  if (execution.frontRegion === options.region) return outcome;
  const isPermitted = await options.links.takeBytes({
    to: execution.frontRegion,
    service: execution.service,
    bytes: computeFrameBytes(outcome),
    untilMs: execution.deadlineAtMs - ANSWER_TRANSIT_MS,
  });
  return isPermitted ? outcome : { type: "unknown", reason: "deadline-passed" };
}

function makeNotOwnerOutcome(
  options: PeerHandlersOptions,
  service: string,
): NotRun {
  return {
    type: "not-run",
    reason: "not-owner",
    retryAfterMs: 100,
    ownerHint: options.findOwnerAddress(service),
  };
}
