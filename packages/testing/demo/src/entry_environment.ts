/**
 * Settings and files of the entries that this package starts.
 *
 * @module
 */

import { writeFileSync } from "node:fs";
import { join } from "node:path";

const PEER_TOKEN = "example-peer-token-0123456789abcdef0123";

/** Token of an administrator in systems that this package starts. */
export const OPERATOR_TOKEN = "example-operator-token-0123456789abcdef";

/** Files that processes read. */
export interface SystemFiles {
  readonly peerToken: string;
  readonly operatorTokens: string;
  readonly rows: string;
}

/** Writes the files with the tokens. */
export function writeFiles(directory: string): SystemFiles {
  const files = {
    peerToken: join(directory, "peer-token"),
    operatorTokens: join(directory, "operator-tokens.yaml"),
    rows: join(directory, "rows.json"),
  };
  writeFileSync(files.peerToken, PEER_TOKEN);
  writeFileSync(
    files.operatorTokens,
    `- { name: example, token: ${OPERATOR_TOKEN}, teams: ["*"], role: admin }\n`,
  );
  return files;
}

/** Options of `makeEntryEnv`. */
export interface EntryEnvOptions {
  readonly instance: string;
  readonly region: string;
  readonly zone: string;
  readonly platformUrl: string;
  readonly lookupTtlMs?: number;
  readonly recordDirectory?: string;
}

/** Makes the settings of one entry. */
export function makeEntryEnv(
  options: EntryEnvOptions,
  files: SystemFiles,
): Record<string, string> {
  return {
    DOTTERELMOOR_INSTANCE: options.instance,
    DOTTERELMOOR_REGION: options.region,
    DOTTERELMOOR_ZONE: options.zone,
    DOTTERELMOOR_CALLERS_LISTEN: "127.0.0.1:0",
    DOTTERELMOOR_PEERS_LISTEN: "127.0.0.1:0",
    DOTTERELMOOR_OPERATORS_LISTEN: "127.0.0.1:0",
    DOTTERELMOOR_PLATFORM_URL: options.platformUrl,
    DOTTERELMOOR_PEER_TOKEN_FILE: files.peerToken,
    DOTTERELMOOR_OPERATOR_TOKENS_FILE: files.operatorTokens,
    DOTTERELMOOR_LOG_LEVEL: "info",
    DOTTERELMOOR_LOOKUP_TTL_MS: String(options.lookupTtlMs ?? 1_000),
    ...makeRecordEnv(options.instance, options.recordDirectory),
  };
}

/** Makes the setting of the seeds. */
export function makeSeedsEnv(
  peers: readonly string[],
): Record<string, string> {
  return peers.length === 0 ? {} : { DOTTERELMOOR_SEEDS: peers.join(",") };
}

function makeRecordEnv(
  instance: string,
  directory: string | undefined,
): Record<string, string> {
  return directory === undefined
    ? {}
    : { DOTTERELMOOR_RECORD_FILE: join(directory, `${instance}.jsonl`) };
}
