/**
 * Session lease of one process: joining, renewal and end.
 *
 * @module
 */

import type {
  JsonValue,
  TableRow,
  TransactResult,
} from "@dotterelmoor/core.types";
import { findConflict, type Operations } from "./operations.ts";
import {
  buildReplacement,
  COUNTER_KEY,
  decodeSession,
  encodeRow,
  getSessionKey,
} from "./rows.ts";
import type {
  OwnershipIdentity,
  OwnershipTimings,
  SessionPhase,
} from "./types.ts";

/** Receives the changes of the session. */
export interface SessionListener {
  readonly started: (incarnation: number, isRejoin: boolean) => void;
  readonly revoked: (nowMs: number) => void;
  readonly left: () => void;
}

/** Dependencies of a session. */
export interface SessionOptions {
  readonly identity: OwnershipIdentity;
  readonly timings: OwnershipTimings;
  readonly operations: Operations;
  readonly listener: SessionListener;
}

/** The session of one process. */
export class Session {
  readonly #options: SessionOptions;
  /** Send time of each write of the last lease duration, by its number. */
  readonly #writes = new Map<number, number>();
  #phase: SessionPhase = "idle";
  #incarnation = 0;
  #version = 0;
  #leaseUntilMs = 0;
  #lastWrite = 0;
  #listed = false;
  #busy = false;
  #nextMs = 0;
  #counter: TableRow | undefined;
  /** Row of the previous session, removed when the next session starts. */
  #previous: { key: string; version: number } | undefined;
  #renewedMs = -Infinity;
  #uninterruptedSinceMs = 0;

  constructor(options: SessionOptions) {
    this.#options = options;
  }

  get phase(): SessionPhase {
    return this.#phase;
  }

  get incarnation(): number {
    return this.#incarnation;
  }

  get leaseUntilMs(): number {
    return this.#leaseUntilMs;
  }

  /** Start of the current series of renewals without a gap. */
  get uninterruptedSinceMs(): number {
    return this.#uninterruptedSinceMs;
  }

  start(nowMs: number): void {
    if (this.#phase !== "idle") return;
    this.#phase = "joining";
    this.update(nowMs);
  }

  /** Gives up the session and joins again, not before the given time. */
  restart(notBeforeMs: number): void {
    this.#previous = {
      key: getSessionKey(this.#incarnation),
      version: this.#version,
    };
    this.#phase = "joining";
    this.#incarnation = 0;
    this.#leaseUntilMs = 0;
    this.#counter = undefined;
    this.#nextMs = notBeforeMs;
  }

  /** Renews the row to record that the platform's list shows this instance. */
  markListed(): void {
    if (this.#listed) return;
    this.#listed = true;
    if (this.#phase === "live") this.#nextMs = 0;
  }

  /** Starts leaving; the session lasts until `close`. */
  leave(): void {
    const phase = this.#phase;
    this.#phase = "leaving";
    if (phase !== "live") this.#finish();
  }

  /** Removes the session row; must be called until the phase is `left`. */
  close(nowMs: number): void {
    if (this.#phase === "left") return;
    if (nowMs >= this.#leaseUntilMs) return this.#finish();
    if (this.#busy) return;
    this.#busy = true;
    const key = getSessionKey(this.#incarnation);
    const removal = buildReplacement(key, this.#version, null);
    this.#options.operations.submit(removal, nowMs, (result) => {
      this.#busy = false;
      const row = findConflict(result, key);
      if (row !== undefined) this.#version = row.version;
      if (result.type === "committed" || row?.version === 0) this.#finish();
    });
  }

  /** Joins or renews when due. */
  update(nowMs: number): void {
    if (this.#busy || nowMs < this.#nextMs) return;
    if (this.#phase === "joining") this.#join(nowMs);
    if (this.#phase === "live" || this.#phase === "leaving") this.#renew(nowMs);
  }

  #finish(): void {
    if (this.#phase === "left") return;
    this.#phase = "left";
    this.#incarnation = 0;
    this.#leaseUntilMs = 0;
    this.#options.listener.left();
  }

  #join(nowMs: number): void {
    this.#busy = true;
    this.#nextMs = nowMs + this.#options.timings.renewMs;
    if (this.#counter !== undefined) return this.#create(this.#counter, nowMs);
    this.#options.operations.read(COUNTER_KEY, nowMs, (result, _sent, at) => {
      this.#busy = false;
      if (result.type !== "rows" || this.#phase !== "joining") return;
      this.#counter = result.rows.find((row) => row.key === COUNTER_KEY) ??
        { key: COUNTER_KEY, version: 0, value: null };
      this.#retry(at);
    });
  }

  #retry(nowMs: number): void {
    this.#nextMs = nowMs;
    this.update(nowMs);
  }

  #create(counter: TableRow, nowMs: number): void {
    const incarnation = Number(counter.value ?? 0) + 1;
    const key = getSessionKey(incarnation);
    const previous = this.#previous !== undefined && this.#previous.version > 0
      ? [{ key: this.#previous.key, version: this.#previous.version }]
      : [];
    const transaction = {
      checks: [
        { key: COUNTER_KEY, version: counter.version },
        { key, version: 0 },
        ...previous,
      ],
      writes: [
        { key: COUNTER_KEY, value: incarnation },
        { key, value: this.#makeRow(incarnation, nowMs) },
        ...previous.map((row) => ({ key: row.key, value: null })),
      ],
    };
    this.#options.operations.submit(transaction, nowMs, (result, _sent, at) => {
      this.#busy = false;
      if (this.#phase !== "joining") return;
      this.#handleCreateResult(incarnation, result, at);
    });
  }

  #handleCreateResult(
    incarnation: number,
    result: TransactResult,
    nowMs: number,
  ): void {
    const key = getSessionKey(incarnation);
    if (result.type === "committed") {
      return this.#open(incarnation, result.versions[key]!, this.#lastWrite);
    }
    if (result.type === "unavailable") return this.#verify(incarnation, nowMs);
    const counter = findConflict(result, COUNTER_KEY);
    const previous = findConflict(result, this.#previous?.key);
    if (previous !== undefined) this.#previous = previous;
    this.#counter = counter ?? (previous && this.#counter);
    if (this.#counter !== undefined) this.#retry(nowMs);
  }

  /** Checks if a creation that got no answer took effect. */
  #verify(incarnation: number, nowMs: number): void {
    this.#busy = true;
    const key = getSessionKey(incarnation);
    this.#options.operations.read(key, nowMs, (result, _sent, at) => {
      this.#busy = false;
      if (this.#phase !== "joining") return;
      const row = result.type === "rows"
        ? result.rows.find((candidate) => candidate.key === key)
        : undefined;
      const session = decodeSession(row?.value ?? null);
      if (session !== undefined && this.#isOwn(session)) {
        return this.#open(incarnation, row!.version, session.write);
      }
      this.#counter = undefined;
      if (result.type === "rows") this.#retry(at);
    });
  }

  #open(incarnation: number, version: number, write: number): void {
    const isRejoin = this.#previous !== undefined;
    this.#previous = undefined;
    this.#phase = "live";
    this.#incarnation = incarnation;
    this.#confirm(version, write);
    this.#nextMs = this.#leaseUntilMs - this.#options.timings.leaseMs +
      this.#options.timings.renewMs;
    this.#options.listener.started(incarnation, isRejoin);
  }

  #renew(nowMs: number): void {
    this.#busy = true;
    this.#nextMs = nowMs + this.#options.timings.renewMs;
    const incarnation = this.#incarnation;
    const key = getSessionKey(incarnation);
    const value = this.#makeRow(incarnation, nowMs);
    const write = this.#lastWrite;
    const renewal = buildReplacement(key, this.#version, value);
    this.#options.operations.submit(renewal, nowMs, (result, _sent, at) => {
      this.#busy = false;
      if (this.#incarnation !== incarnation) return;
      if (result.type === "committed") {
        return this.#confirm(result.versions[key]!, write);
      }
      const row = findConflict(result, key);
      if (row !== undefined) this.#handleConflict(row, at);
    });
  }

  /**
   * Handles a changed session row: either an own write whose answer was lost,
   * or a revocation.
   */
  #handleConflict(row: TableRow, nowMs: number): void {
    const session = decodeSession(row.value);
    if (session?.state === "live" && this.#isOwn(session)) {
      this.#confirm(row.version, session.write);
      return this.#retry(nowMs);
    }
    this.#version = row.version;
    this.#options.listener.revoked(nowMs);
  }

  /** Extends the lease, counted from when the write was sent. */
  #confirm(version: number, write: number): void {
    const { leaseMs, renewMs } = this.#options.timings;
    const sentAtMs = this.#writes.get(write) ?? -Infinity;
    this.#version = version;
    if (sentAtMs - this.#renewedMs > 3 * renewMs) {
      this.#uninterruptedSinceMs = sentAtMs;
    }
    this.#renewedMs = sentAtMs;
    this.#leaseUntilMs = Math.max(this.#leaseUntilMs, sentAtMs + leaseMs);
  }

  #isOwn(session: { processId: string }): boolean {
    return session.processId === this.#options.identity.processId;
  }

  #makeRow(incarnation: number, nowMs: number): JsonValue {
    const write = ++this.#lastWrite;
    for (const [earlier, sentAtMs] of this.#writes) {
      const isExpired = nowMs - sentAtMs > this.#options.timings.leaseMs;
      if (isExpired) this.#writes.delete(earlier);
    }
    this.#writes.set(write, nowMs);
    return encodeRow({
      ...this.#options.identity,
      incarnation,
      state: "live",
      write,
      listed: this.#listed,
    });
  }
}
