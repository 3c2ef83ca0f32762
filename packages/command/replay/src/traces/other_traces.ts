/**
 * Scenarios of claims and of configuration snapshots.
 *
 * @module
 */

import { strict as assert } from "node:assert";
import { createClaims } from "@dotterelmoor/core.claiming";
import type { ClaimsAction, ClaimsEvent } from "@dotterelmoor/core.claiming";
import { createConfigurationReplica } from "@dotterelmoor/core.configuring";
import type {
  ConfigurationAction,
  ConfigurationEvent,
  SnapshotSource,
} from "@dotterelmoor/core.configuring";
import { createRecorder } from "@dotterelmoor/core.recording";
import type { StateMachine, TableRow } from "@dotterelmoor/core.types";

type Transact = Extract<ClaimsAction, { type: "transact" }>;
type Read = Extract<ClaimsAction, { type: "read" }>;

/**
 * Two claims whose transactions are not answered. The first reads its own row
 * and is granted; the second reads the row of another claim and is refused.
 */
export function recordLostAnswer(): string[] {
  const lines: string[] = [];
  const machine: StateMachine<ClaimsEvent, ClaimsAction> = createRecorder({
    module: "claiming",
    create: createClaims,
    options: {},
    nowMs: 0,
    write: (line) => lines.push(line),
  });
  machine.handle({ type: "session", incarnation: 7 }, 0);
  const own = submitUnansweredClaim(machine, "r1", 10);
  const ownRow: TableRow = { ...own.write, version: 1 };
  const claimed = answerRead(machine, own.operationId, ownRow, 2_020);
  assert.deepEqual(claimed, [{ type: "claimed", requestId: "r1" }]);
  const late = submitUnansweredClaim(machine, "r2", 3_000);
  const foreign: TableRow = {
    key: late.write.key,
    version: 4,
    value: { incarnation: 8, sequence: 1, fingerprint: "other" },
  };
  const refused = answerRead(machine, late.operationId, foreign, 5_010);
  assert(
    refused.some((action) =>
      action.type === "refused" && action.outcome.type === "unknown"
    ),
  );
  return lines;
}

interface UnansweredClaim {
  readonly operationId: number;
  readonly write: Transact["transaction"]["writes"][number];
}

/** Claims a key; the store does not answer, so the commit remains unknown. */
function submitUnansweredClaim(
  machine: StateMachine<ClaimsEvent, ClaimsAction>,
  requestId: string,
  nowMs: number,
): UnansweredClaim {
  const actions = [
    ...machine.handle({
      type: "claim",
      requestId,
      service: "booking-desk",
      key: `key-${requestId}`,
      fingerprint: `fingerprint-${requestId}`,
      expiresAtMs: nowMs + 6_000,
    }, nowMs),
    ...machine.handle({ type: "tick" }, nowMs + 5),
  ];
  const { operationId, transaction } = actions.find((
    action,
  ): action is Transact => action.type === "transact")!;
  const answers = machine.handle(
    { type: "transacted", operationId, result: { type: "unavailable" } },
    nowMs + 2_000,
  );
  const read = answers.find((action): action is Read => action.type === "read");
  assert(
    read !== undefined,
    "An unanswered transaction must be followed by a read",
  );
  return { operationId: read.operationId, write: transaction.writes[0]! };
}

function answerRead(
  machine: StateMachine<ClaimsEvent, ClaimsAction>,
  operationId: number,
  row: TableRow,
  nowMs: number,
): ClaimsAction[] {
  const result = { type: "rows", rows: [row] } as const;
  return machine.handle({ type: "rows_read", operationId, result }, nowMs);
}

/** Older snapshots are ignored, whether from the store or from a peer. */
export function recordNoRevert(): string[] {
  const lines: string[] = [];
  const applied: number[] = [];
  const machine = createRecorder<
    Parameters<typeof createConfigurationReplica>[0],
    ConfigurationEvent,
    ConfigurationAction,
    ReturnType<typeof createConfigurationReplica>
  >({
    module: "configuring",
    create: createConfigurationReplica,
    options: { seeds: [], random: () => 0.5 },
    nowMs: 0,
    write: (line) => lines.push(line),
  });
  let nowMs = 0;
  const send = (event: ConfigurationEvent) => {
    nowMs += 100;
    for (const action of machine.handle(event, nowMs)) {
      if (action.type === "apply") applied.push(action.snapshot.sequence);
    }
  };
  const addresses = ["127.0.0.1:7001", "127.0.0.1:7002"];
  send({ type: "peers", addresses, entries: 3 });
  const received: [number, SnapshotSource][] = [
    [4, "store"],
    [5, "commit"],
    // The store sent its response before the change was committed.
    [4, "store"],
    [3, "peer"],
    [5, "peer"],
    [6, "peer"],
    [5, "store"],
  ];
  for (const [sequence, source] of received) {
    send({ type: "snapshot", snapshot: buildSnapshot(sequence), source });
    send({ type: "tick" });
  }
  send({ type: "digest", address: addresses[0]!, sequence: 2 });
  assert.deepEqual(applied, [4, 5, 6]);
  return lines;
}

function buildSnapshot(sequence: number) {
  const limits = { maxDeadlineMs: 6_000, maxConcurrency: 1, maxShiftCap: 1 };
  const platform = { regions: [], links: [], clientBlocks: [], limits };
  return { sequence, platform, teams: {}, drains: [] };
}
