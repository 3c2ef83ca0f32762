/**
 * Types of the entry daemon's settings.
 *
 * @module
 */
import type { CodedError } from "@dotterelmoor/core.types";

/** What a token permits, from least to most. */
export type OperatorRole = "viewer" | "operator" | "admin";

/** A token of the operators' interface. */
export interface OperatorTokenSettings {
  /** Author name that audit rows carry. */
  readonly name: string;
  readonly token: string;
  /** Teams that the token reaches; `*` stands for all. */
  readonly teams: readonly string[];
  readonly role: OperatorRole;
}

/** Address of a listener and the address that others use to reach it. */
export interface ListenerSettings {
  readonly host: string;
  /** 0 lets the operating system choose. */
  readonly port: number;
  /** `host:port`; absent when the bound address is advertised. */
  readonly advertise?: string;
}

/** Settings of one entry process. */
export interface EntrySettings {
  readonly instance: string;
  readonly region: string;
  readonly zone: string;
  readonly callers: ListenerSettings;
  readonly peers: ListenerSettings;
  readonly operators: ListenerSettings;
  /** Peer addresses, `host:port`; may be empty. */
  readonly seeds: readonly string[];
  readonly platformUrl: string;
  /** Receiver of metrics over UDP. */
  readonly metrics?: { readonly host: string; readonly port: number };
  readonly peerToken: string;
  readonly operatorTokens: readonly OperatorTokenSettings[];
  readonly logLevel: LogLevel;
  /** Time in milliseconds that clients may cache look-up answers. */
  readonly lookupTtlMs: number;
  readonly recordFile?: string;
  /** The process prints its settings and ends. */
  readonly printSettings: boolean;
}

/** Log levels of `pino`. */
export type LogLevel =
  | "trace"
  | "debug"
  | "info"
  | "warn"
  | "error"
  | "fatal"
  | "silent";

/** An error in settings. */
export interface SettingsError extends CodedError {
  readonly code:
    | "file-unreadable"
    | "flag-invalid"
    | "setting-invalid"
    | "setting-missing"
    | "setting-unknown"
    | "syntax";
  /** Name of the setting in the YAML file, such as `peers.listen`. */
  readonly setting: string;
  /** File, variable or flag that holds the value. */
  readonly source: string;
}

/** Exit code of a process that refuses its settings. */
export const SETTINGS_EXIT_CODE = 2;
