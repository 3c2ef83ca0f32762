/**
 * Removes the rows of claims whose requests certainly did not run.
 *
 * @module
 */

import type { ReadResult, TransactResult } from "@dotterelmoor/core.types";
import { isOwnRow } from "./rows.ts";
import type { ClaimRow } from "./rows.ts";
import type { ClaimsAction } from "./types.ts";

/** Pause between attempts while the store does not answer. */
const RETRY_MS = 1_000;
/** Releases in flight at a time. */
const MAX_IN_FLIGHT = 4;
/** Releases kept; above that the oldest keys stay claimed. */
const MAX_RELEASES = 10_000;

/** Row that is to be removed. */
export interface Releasable {
  readonly tableKey: string;
  readonly row: ClaimRow;
  /** Version of the row, 0 if it is not known whether it exists. */
  readonly version: number;
}

interface Release {
  readonly tableKey: string;
  readonly row: ClaimRow;
  version: number;
  dueMs: number;
  /** Absent rows seen; a late write may follow the first. */
  absences: number;
  operationId: number | undefined;
}

/** Output of one turn of the machine. */
export interface ReleaseTurn {
  readonly nowMs: number;
  readonly actions: ClaimsAction[];
}

/** Releases that are not settled yet. */
export class Releases {
  readonly #releases = new Map<string, Release>();

  get size(): number {
    return this.#releases.size;
  }

  has(tableKey: string): boolean {
    return this.#releases.has(tableKey);
  }

  add({ tableKey, row, version }: Releasable, nowMs: number): void {
    this.#releases.set(tableKey, {
      tableKey,
      row,
      version,
      dueMs: nowMs,
      absences: 0,
      operationId: undefined,
    });
    if (this.#releases.size > MAX_RELEASES) {
      const [oldest] = this.#releases.keys();
      this.#releases.delete(oldest!);
    }
  }

  nextMs(): number | undefined {
    const waiting = this.#listWaiting();
    if (waiting.length === 0 || this.#countInFlight() >= MAX_IN_FLIGHT) {
      return undefined;
    }
    return Math.min(...waiting.map(({ dueMs }) => dueMs));
  }

  /** Reads a row of unknown version first, then removes it. */
  send(turn: ReleaseTurn, nextOperation: () => number): void {
    let free = MAX_IN_FLIGHT - this.#countInFlight();
    for (const release of this.#listWaiting()) {
      if (free <= 0) return;
      if (release.dueMs > turn.nowMs) continue;
      const operationId = nextOperation();
      release.operationId = operationId;
      turn.actions.push(buildOperation(release, operationId));
      free -= 1;
    }
  }

  applyTransacted(
    operationId: number,
    result: TransactResult,
    nowMs: number,
  ): void {
    const release = this.#find(operationId);
    if (release === undefined) return;
    release.operationId = undefined;
    if (result.type === "unavailable") {
      release.version = 0;
      release.dueMs = nowMs + RETRY_MS;
    } else {
      this.#releases.delete(release.tableKey);
    }
  }

  applyRead(operationId: number, result: ReadResult, nowMs: number): void {
    const release = this.#find(operationId);
    if (release === undefined) return;
    release.operationId = undefined;
    const row = result.type === "rows" ? result.rows[0] : undefined;
    if (row !== undefined && isOwnRow(row, release.row)) {
      release.version = row.version;
      release.dueMs = nowMs;
      return;
    }
    release.dueMs = nowMs + RETRY_MS;
    if (row === undefined) return;
    // A write whose answer was lost may take effect after the first look.
    release.absences += 1;
    const isForeign = row.value !== null;
    if (isForeign || release.absences > 1) {
      this.#releases.delete(release.tableKey);
    }
  }

  #listWaiting(): Release[] {
    return [...this.#releases.values()].filter(({ operationId }) =>
      operationId === undefined
    );
  }

  #countInFlight(): number {
    return this.#releases.size - this.#listWaiting().length;
  }

  #find(operationId: number): Release | undefined {
    return [...this.#releases.values()].find((release) =>
      release.operationId === operationId
    );
  }
}

function buildOperation(release: Release, operationId: number): ClaimsAction {
  const { tableKey, version } = release;
  if (version === 0) return { type: "read", operationId, key: tableKey };
  return {
    type: "transact",
    operationId,
    transaction: {
      checks: [{ key: tableKey, version }],
      writes: [{ key: tableKey, value: null }],
    },
  };
}
