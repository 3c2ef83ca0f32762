/**
 * Pulls from peers that are ahead.
 *
 * @module
 */

import type { ConfigurationAction } from "./options.ts";

/** Peers that are ahead, tried in turn. */
const MAX_SOURCES = 4;

interface Source {
  readonly address: string;
  readonly sequence: number;
}

/** Has one pull at a time under way; the next peer is asked on a time-out. */
export class Puller {
  readonly #timeoutMs: number;
  #sources: Source[] = [];
  #pulledAtMs = -Infinity;

  constructor(timeoutMs: number) {
    this.#timeoutMs = timeoutMs;
  }

  /** Notes a peer that is ahead, and pulls unless a pull is under way. */
  note(
    address: string,
    sequence: number,
    nowMs: number,
  ): ConfigurationAction[] {
    const others = this.#sources.filter((source) => source.address !== address);
    this.#sources = [{ address, sequence }, ...others].slice(0, MAX_SOURCES);
    return this.retry(nowMs);
  }

  /** Forgets peers that are no longer ahead. */
  removeOutdated(sequence: number): void {
    this.#sources = this.#sources.filter((source) =>
      source.sequence > sequence
    );
    this.#pulledAtMs = -Infinity;
  }

  /** Asks the next peer when the last pull has timed out. */
  retry(nowMs: number): ConfigurationAction[] {
    if (nowMs - this.#pulledAtMs < this.#timeoutMs) return [];
    const source = this.#sources.shift();
    if (!source) return [];
    this.#pulledAtMs = nowMs;
    return [{ type: "pull", address: source.address }];
  }
}
