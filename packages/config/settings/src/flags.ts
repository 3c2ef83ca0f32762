/**
 * Table of settings: name in the file, flag, variable and description.
 *
 * @module
 */

/** One setting of the entry daemon. */
export interface SettingDescription {
  /** Path in the YAML file, such as `peers.listen`. */
  readonly setting: string;
  readonly help: string;
  /** Comma-separated in flags and variables. */
  readonly list?: boolean;
}

/** Every setting that a file, variable or flag can hold. */
export const SETTINGS: readonly SettingDescription[] = [
  { setting: "instance", help: "Instance id in the platform's list" },
  { setting: "region", help: "Region of this instance" },
  { setting: "zone", help: "Availability zone of this instance" },
  { setting: "callers.listen", help: "host:port for callers" },
  { setting: "callers.advertise", help: "host:port that look-ups answer" },
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
  { setting: "lookupTtlMs", help: "Time that look-up answers may be cached" },
  { setting: "recordFile", help: "File that records events for replay" },
];

/** Flag of a setting, without the two hyphens. */
export function makeFlag(setting: string): string {
  return splitWords(setting).join("-");
}

/** Environment variable of a setting. */
export function makeVariable(setting: string): string {
  return `DOTTERELMOOR_${splitWords(setting).join("_").toUpperCase()}`;
}

function splitWords(setting: string): string[] {
  return setting.replace(/[A-Z]/g, (letter) => `.${letter.toLowerCase()}`)
    .split(".");
}
