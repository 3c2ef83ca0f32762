/**
 * List of settings, and the flag and environment variable of each.
 *
 * @module
 */

/** One setting of the entry daemon. */
export interface SettingDescription {
  /** Path in the YAML file, such as `peers.listen`. */
  readonly setting: string;
  /** Description for `--help`. */
  readonly help: string;
  /** True for a list, which is comma-separated in flags and variables. */
  readonly list?: boolean;
}

/** All settings that a file, variable or flag can set. */
export const SETTINGS: readonly SettingDescription[] = [
  { setting: "instance", help: "Instance id in the platform's list" },
  { setting: "region", help: "Region of this instance" },
  { setting: "zone", help: "Availability zone of this instance" },
  { setting: "callers.listen", help: "host:port for callers" },
  { setting: "callers.advertise", help: "host:port that look-ups return" },
  { setting: "peers.listen", help: "host:port for other entries" },
  { setting: "peers.advertise", help: "host:port that peers connect to" },
  { setting: "operators.listen", help: "host:port for operators" },
  { setting: "operators.advertise", help: "host:port that operators use" },
  { setting: "seeds", help: "Peer addresses, host:port", list: true },
  { setting: "platformUrl", help: "URL of the platform" },
  { setting: "metrics", help: "host:port that receives metrics over UDP" },
  { setting: "peerTokenFile", help: "File with the peer token" },
  { setting: "operatorTokensFile", help: "YAML file with operator tokens" },
  { setting: "logLevel", help: "trace, debug, info, warn, error or silent" },
  { setting: "lookupTtlMs", help: "Time to cache look-up results, in ms" },
  { setting: "recordFile", help: "File that records events for replay" },
];

/** Makes the flag of a setting, without the two leading hyphens. */
export function makeFlag(setting: string): string {
  return splitWords(setting).join("-");
}

/** Makes the name of a setting's environment variable. */
export function makeVariable(setting: string): string {
  return `DOTTERELMOOR_${splitWords(setting).join("_").toUpperCase()}`;
}

function splitWords(setting: string): string[] {
  return setting.replace(/[A-Z]/g, (letter) => `.${letter.toLowerCase()}`)
    .split(".");
}
