/**
 * Waiting requests by priority class.
 *
 * @module
 */

import type { Priority } from "@dotterelmoor/core.types";
import type { DispatchRequest } from "./types.ts";

/**
 * A waiting request with the number of its sends that certainly did not run.
 */
export interface QueuedRequest {
  readonly request: DispatchRequest;
  readonly tries: number;
}

/** Classes in dispatch order; requests are shed in reverse order. */
const CLASSES: readonly Priority[] = ["critical", "normal", "background"];

/** Priority queue that is first in, first out within a class. */
export class RequestQueue {
  readonly #classes: Readonly<Record<Priority, QueuedRequest[]>> = {
    critical: [],
    normal: [],
    background: [],
  };
  readonly #ids = new Map<string, QueuedRequest>();
  /** Requests that must avoid some servers. */
  readonly #restricted = new Set<QueuedRequest>();
  readonly #marginMs: number;
  /** Lower bound of the due times. */
  #earliestDueMs = Infinity;

  /** Creates a queue whose requests are due once only the margin is left. */
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

  /** Counts the requests of the class and of higher classes. */
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

  /** Adds a request at the head of its class. */
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

  /** Returns the last request of the lowest class that is not empty. */
  findLast(): QueuedRequest | undefined {
    for (const name of CLASSES.toReversed()) {
      const last = this.#classes[name].at(-1);
      if (last !== undefined) return last;
    }
    return undefined;
  }

  /**
   * Copies the queue in dispatch order, so that callers may remove requests.
   */
  list(): QueuedRequest[] {
    const { critical, normal, background } = this.#classes;
    return critical.concat(normal, background);
  }

  /**
   * Lists the requests that must avoid some servers, in no particular order.
   */
  listRestricted(): QueuedRequest[] {
    return [...this.#restricted];
  }

  /** Removes and returns the requests that can no longer be sent. */
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
