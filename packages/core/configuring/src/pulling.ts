/**
 * Pulls newer snapshots from peers.
 *
 * @module
 */

import type { ConfigurationAction } from "./options.ts";

/** Maximum number of peers with newer snapshots that are tried in turn. */
const MAX_SOURCES = 4;

interface Source {
  readonly address: string;
  readonly sequence: number;
}

/** Runs one pull at a time and asks the next peer after a timeout. */
export class Puller {
  readonly #timeoutMs: number;
  #sources: Source[] = [];
  #pulledAtMs = -Infinity;

  constructor(timeoutMs: number) {
    this.#timeoutMs = timeoutMs;
  }

  /** Adds a peer with a newer snapshot; pulls unless a pull is in progress. */
  note(
    address: string,
    sequence: number,
    nowMs: number,
  ): ConfigurationAction[] {
    const others = this.#sources.filter((source) => source.address !== address);
    this.#sources = [{ address, sequence }, ...others].slice(0, MAX_SOURCES);
    return this.retry(nowMs);
  }

  /** Removes peers that have no newer snapshot than this sequence. */
  removeOutdated(sequence: number): void {
    this.#sources = this.#sources.filter((source) =>
      source.sequence > sequence
    );
    this.#pulledAtMs = -Infinity;
  }

  /** Pulls from the next peer if no pull is in progress or it timed out. */
  retry(nowMs: number): ConfigurationAction[] {
    if (nowMs - this.#pulledAtMs < this.#timeoutMs) return [];
    const source = this.#sources.shift();
    if (!source) return [];
    this.#pulledAtMs = nowMs;
    return [{ type: "pull", address: source.address }];
  }
}
