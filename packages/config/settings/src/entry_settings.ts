/**
 * Types of the entry daemon's settings.
 *
 * @module
 */
import type { CodedError } from "@dotterelmoor/core.types";

/** Roles of operators, from least to most privileged. */
export type OperatorRole = "viewer" | "operator" | "admin";

/** A token of the operators' interface. */
export interface OperatorTokenSettings {
  /** Author name written to audit rows. */
  readonly name: string;
  readonly token: string;
  /** Teams that the token grants access to; `*` means all teams. */
  readonly teams: readonly string[];
  readonly role: OperatorRole;
}

/** Address that a listener binds to, and the address that it advertises. */
export interface ListenerSettings {
  readonly host: string;
  /** Port to bind to; 0 lets the operating system choose a free one. */
  readonly port: number;
  /** `host:port` to advertise; if absent, the bound address is advertised. */
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
  /** Addresses of seed peers, `host:port`; may be empty. */
  readonly seeds: readonly string[];
  readonly platformUrl: string;
  /** Address that metrics are sent to over UDP. */
  readonly metrics?: { readonly host: string; readonly port: number };
  readonly peerToken: string;
  readonly operatorTokens: readonly OperatorTokenSettings[];
  readonly logLevel: LogLevel;
  /** Time in milliseconds that callers may cache lookup results. */
  readonly lookupTtlMs: number;
  /** Path of the file that events are recorded to for replay. */
  readonly recordFile?: string;
  /** True if the process should print its settings and exit. */
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

/** An error in the settings. */
export interface SettingsError extends CodedError {
  readonly code:
    | "file-unreadable"
    | "flag-invalid"
    | "setting-invalid"
    | "setting-missing"
    | "setting-unknown"
    | "syntax";
  /**
   * Name of the setting in the YAML file, such as `peers.listen`; for an invalid
   * flag or an unknown variable, the flag or variable itself.
   */
  readonly setting: string;
  /** File, variable or flag that the value comes from. */
  readonly source: string;
}

/** Exit code of a process whose settings are invalid. */
export const SETTINGS_EXIT_CODE = 2;
