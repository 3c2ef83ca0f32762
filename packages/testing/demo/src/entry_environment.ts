/**
 * Environment variables and files for the entries that this package starts.
 *
 * @module
 */

import { writeFileSync } from "node:fs";
import { join } from "node:path";

const PEER_TOKEN = "example-peer-token-0123456789abcdef0123";

/** Token of an administrator in systems that this package starts. */
export const OPERATOR_TOKEN = "example-operator-token-0123456789abcdef";

/** Paths of the files that the started processes read. */
export interface SystemFiles {
  readonly peerToken: string;
  readonly operatorTokens: string;
  readonly rows: string;
}

/** Writes the token files into a directory; `rows` is only a path. */
export function writeTokenFiles(directory: string): SystemFiles {
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
  /** Instance id of the entry. */
  readonly instance: string;
  readonly region: string;
  readonly zone: string;
  readonly platformUrl: string;
  /** Milliseconds for which callers reuse a lookup; 1,000 by default. */
  readonly lookupTtlMs?: number;
  /** Directory for a trace `<instance>.jsonl`; without it, none is written. */
  readonly recordDirectory?: string;
}

/** Builds the environment variables of one entry. */
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

/** Builds the environment variable that lists the seeds (`host:port`). */
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
