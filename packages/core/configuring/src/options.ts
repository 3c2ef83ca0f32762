/**
 * Options, events, actions and queries of the configuration keeper.
 *
 * @module
 */

import type {
  ConfigurationSnapshot,
  Random,
  StateMachine,
} from "@dotterelmoor/core.types";

/** Where a snapshot came from. */
export type SnapshotSource = "store" | "peer" | "commit";

/** Options of `createConfigurationKeeper`. */
export interface ConfigurationKeeperOptions {
  /** Peer addresses asked at a cold start. */
  readonly seeds: readonly string[];
  readonly random: Random;
  /** Peers that a new snapshot is pushed to; 3 by default. */
  readonly pushCount?: number;
  /** Store reads per second of all entries together; 10 by default. */
  readonly readsPerSecond?: number;
  /** Shortest time between two reads of one entry; 1,000 by default. */
  readonly minReadIntervalMs?: number;
  /** Time after which an unanswered pull is sent again; 500 by default. */
  readonly pullTimeoutMs?: number;
  /** Time after which a silent seed counts as failed; 2,000 by default. */
  readonly seedTimeoutMs?: number;
}

/** What the keeper reacts to. A tick is due about every 100 ms. */
export type ConfigurationEvent =
  | {
    readonly type: "snapshot";
    readonly snapshot: ConfigurationSnapshot;
    readonly source: SnapshotSource;
  }
  | {
    readonly type: "digest";
    readonly address: string;
    readonly sequence: number;
  }
  /**
   * Result of a `read_store` without a newer snapshot. `empty` means that the
   * store answered and holds no configuration.
   */
  | {
    readonly type: "store_read";
    readonly result: "unchanged" | "empty" | "unavailable";
  }
  /** Live peers of any region, and how many entries there are in all. */
  | {
    readonly type: "peers";
    readonly addresses: readonly string[];
    readonly entries: number;
  }
  /**
   * A seed answered a pull with this sequence, after its snapshot if it had a
   * newer one. Sequence 0 means that the seed is not ready itself.
   */
  | {
    readonly type: "seed_answered";
    readonly address: string;
    readonly sequence: number;
  }
  | { readonly type: "seed_failed"; readonly address: string }
  | { readonly type: "tick" };

/** What the daemon does for the keeper. */
export type ConfigurationAction =
  | { readonly type: "apply"; readonly snapshot: ConfigurationSnapshot }
  | {
    readonly type: "push";
    readonly addresses: readonly string[];
    readonly snapshot: ConfigurationSnapshot;
  }
  | { readonly type: "pull"; readonly address: string }
  | { readonly type: "read_store" };

/** State of the configuration for operators. */
export interface ConfigurationStatus {
  /** Sequence in force, 0 if there is none. */
  readonly sequence: number;
  readonly source: SnapshotSource | "none";
  readonly ready: boolean;
  /** Time since when the store has not answered; undefined while it answers. */
  readonly storeSilentSinceMs: number | undefined;
  readonly readIntervalMs: number;
}

/** Keeps the newest configuration known to one entry. */
export interface ConfigurationKeeper
  extends StateMachine<ConfigurationEvent, ConfigurationAction> {
  current(): ConfigurationSnapshot | undefined;
  /** True once the cold-start rule allows this entry to serve. */
  isReady(): boolean;
  status(): ConfigurationStatus;
}
