/**
 * Waiting requests by priority class.
 *
 * @module
 */

import type { Priority } from "@dotterelmoor/core.types";
import type { DispatchRequest } from "./types.ts";

/** A request that waits, with the sends that certainly did not run. */
export interface QueuedRequest {
  readonly request: DispatchRequest;
  readonly tries: number;
}

/** Classes in the order of dispatch; requests are shed in reverse order. */
const CLASSES: readonly Priority[] = ["critical", "normal", "background"];

/** First in, first out within a class; a higher class goes first. */
export class RequestQueue {
  readonly #classes: Readonly<Record<Priority, QueuedRequest[]>> = {
    critical: [],
    normal: [],
    background: [],
  };
  readonly #ids = new Map<string, QueuedRequest>();
  /** Requests that must not go to some servers. */
  readonly #restricted = new Set<QueuedRequest>();
  readonly #marginMs: number;
  /** No request is due before this time; may be too early. */
  #earliestDueMs = Infinity;

  /** Requests are due when they have no more than the margin left. */
  constructor(marginMs: number) {
    this.#marginMs = marginMs;
  }

  get length(): number {
    return this.#ids.size;
  }

  get earliestDueMs(): number {
    return this.length === 0 ? Infinity : this.#earliestDueMs;
  }

  has(id: string): boolean {
    return this.#ids.has(id);
  }

  /** Requests of the class and of higher classes. */
  countAhead(priority: Priority): number {
    let count = 0;
    for (const name of CLASSES) {
      count += this.#classes[name].length;
      if (name === priority) break;
    }
    return count;
  }

  add(queued: QueuedRequest): void {
    this.#register(queued);
    this.#classes[queued.request.priority].push(queued);
  }

  /** Puts a request back to the head of its class. */
  addFirst(queued: QueuedRequest): void {
    this.#register(queued);
    this.#classes[queued.request.priority].unshift(queued);
  }

  remove(id: string): QueuedRequest | undefined {
    const queued = this.#ids.get(id);
    if (queued === undefined) return undefined;
    this.#ids.delete(id);
    this.#restricted.delete(queued);
    const list = this.#classes[queued.request.priority];
    list.splice(list.indexOf(queued), 1);
    return queued;
  }

  /** The last request of the lowest class. */
  findLast(): QueuedRequest | undefined {
    for (const name of CLASSES.toReversed()) {
      const last = this.#classes[name].at(-1);
      if (last !== undefined) return last;
    }
    return undefined;
  }

  /** Copy in the order of dispatch, safe against changes while it is read. */
  list(): QueuedRequest[] {
    const { critical, normal, background } = this.#classes;
    return critical.concat(normal, background);
  }

  /** Requests that must not go to some servers, in no order. */
  listRestricted(): QueuedRequest[] {
    return [...this.#restricted];
  }

  /** Takes out the requests that can no longer be sent. */
  takeDue(nowMs: number): QueuedRequest[] {
    if (this.earliestDueMs > nowMs) return [];
    this.#earliestDueMs = Infinity;
    const due: QueuedRequest[] = [];
    for (const queued of this.list()) {
      const dueMs = this.#getDueMs(queued);
      if (dueMs <= nowMs) {
        this.remove(queued.request.id);
        due.push(queued);
      } else {
        this.#earliestDueMs = Math.min(this.#earliestDueMs, dueMs);
      }
    }
    return due;
  }

  #register(queued: QueuedRequest): void {
    this.#ids.set(queued.request.id, queued);
    if (queued.request.avoid.length > 0) this.#restricted.add(queued);
    const dueMs = this.#getDueMs(queued);
    this.#earliestDueMs = Math.min(this.#earliestDueMs, dueMs);
  }

  #getDueMs({ request }: QueuedRequest): number {
    const { deadlineAtMs, sendByMs = Infinity } = request;
    return Math.min(deadlineAtMs - this.#marginMs, sendByMs);
  }
}
