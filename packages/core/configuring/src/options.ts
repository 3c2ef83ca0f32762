/**
 * Types of the options, events, actions and queries of a configuration replica.
 *
 * @module
 */

import type {
  ConfigurationSnapshot,
  Random,
  StateMachine,
} from "@dotterelmoor/core.types";

/** Origin of a snapshot. */
export type SnapshotSource = "store" | "peer" | "commit";

/** Options of `createConfigurationReplica`. */
export interface ConfigurationReplicaOptions {
  /** Peer addresses that are asked at a cold start. */
  readonly seeds: readonly string[];
  readonly random: Random;
  /** Number of peers that a new snapshot is pushed to. Default: 3. */
  readonly pushCount?: number;
  /** Store reads per second of all entries together. Default: 10. */
  readonly readsPerSecond?: number;
  /** Minimum interval between two reads of one entry. Default: 1,000 ms. */
  readonly minReadIntervalMs?: number;
  /** Time after which an unanswered pull goes to the next peer. Default: 500 ms. */
  readonly pullTimeoutMs?: number;
  /** Time to wait for the answers of all seeds. Default: 2,000 ms. */
  readonly seedTimeoutMs?: number;
}

/** Input events of the replica. A `tick` is due about every 100 ms. */
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
   * Result of a `read_store` that returned no newer snapshot. `empty` means that
   * the store answered and has no configuration.
   */
  | {
    readonly type: "store_read";
    readonly result: "unchanged" | "empty" | "unavailable";
  }
  /** Live peers of all regions, and the total number of entries. */
  | {
    readonly type: "peers";
    readonly addresses: readonly string[];
    readonly entries: number;
  }
  /**
   * A seed answered a pull with its sequence. A newer snapshot of the seed is
   * reported before this event. Sequence 0 means that the seed is not ready.
   */
  | {
    readonly type: "seed_answered";
    readonly address: string;
    readonly sequence: number;
  }
  | { readonly type: "seed_failed"; readonly address: string }
  | { readonly type: "tick" };

/** Output actions, which the daemon carries out. */
export type ConfigurationAction =
  | { readonly type: "apply"; readonly snapshot: ConfigurationSnapshot }
  | {
    readonly type: "push";
    readonly addresses: readonly string[];
    readonly snapshot: ConfigurationSnapshot;
  }
  | { readonly type: "pull"; readonly address: string }
  | { readonly type: "read_store" };

/** Status of the configuration, for operators. */
export interface ConfigurationStatus {
  /** Sequence in force; 0 if there is none. */
  readonly sequence: number;
  readonly source: SnapshotSource | "none";
  readonly ready: boolean;
  /** Start of a store outage; undefined while the store answers. */
  readonly storeSilentSinceMs: number | undefined;
  readonly readIntervalMs: number;
}

/** Replica of the configuration at one entry. */
export interface ConfigurationReplica
  extends StateMachine<ConfigurationEvent, ConfigurationAction> {
  /** Returns the snapshot in force; undefined if there is none. */
  current(): ConfigurationSnapshot | undefined;
  /** Returns true once this entry may serve after its cold start. */
  isReady(): boolean;
  status(): ConfigurationStatus;
}
