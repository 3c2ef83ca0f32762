/**
 * Queue of the ids of updates to spread. The content is read when an update is
 * sent, so that the newest version is always sent.
 *
 * @module
 */

interface Item {
  readonly urgent: boolean;
  sends: number;
  sendsLeft: number;
}

/** Options of a queued update. */
export interface QueueOptions {
  readonly urgent: boolean;
  readonly sends: number;
}

/** Queue of updates to spread; those sent least often come first. */
export class GossipQueue {
  #items = new Map<string, Item>();

  get size(): number {
    return this.#items.size;
  }

  /** Queues an update; restarts its count if it is already queued. */
  add(id: string, options: QueueOptions): void {
    this.#items.set(id, {
      urgent: options.urgent,
      sends: 0,
      sendsLeft: options.sends,
    });
  }

  /** Returns true if the update is queued and was not sent yet. */
  hasUnsent(id: string): boolean {
    return this.#items.get(id)?.sends === 0;
  }

  remove(id: string): void {
    this.#items.delete(id);
  }

  /**
   * Takes up to `count` ids. While refreshes are queued, urgent updates get at
   * most 5 of 8 places; otherwise the many deaths of a zone failure would delay
   * the group states, which are stale after 5 s.
   */
  take(count: number): string[] {
    const urgent: [string, Item][] = [];
    const refreshes: [string, Item][] = [];
    for (const pair of this.#items) {
      (pair[1].urgent ? urgent : refreshes).push(pair);
    }
    urgent.sort((a, b) => a[1].sends - b[1].sends);
    refreshes.sort((a, b) => a[1].sends - b[1].sends);
    const reserved = Math.min(refreshes.length, Math.floor(count * 3 / 8));
    const chosen = urgent.slice(0, count - reserved);
    chosen.push(...refreshes.slice(0, count - chosen.length));
    return chosen.map(([id, item]) => this.#recordSend(id, item));
  }

  #recordSend(id: string, item: Item): string {
    item.sends += 1;
    item.sendsLeft -= 1;
    if (item.sendsLeft <= 0) this.#items.delete(id);
    return id;
  }
}
