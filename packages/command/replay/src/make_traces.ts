/**
 * Writes the committed traces of failures. Each scenario asserts the outcome
 * that traces/README.md states.
 *
 * @module
 */

import { writeFileSync } from "node:fs";
import { recordLostAnswer, recordNoRevert } from "./traces/other_traces.ts";
import {
  recordFrozenOwner,
  recordRevokedSession,
  recordStoreOutage,
  recordTakeover,
} from "./traces/ownership_traces.ts";

/** Traces stay small enough to be read. */
const MAX_BYTES = 60_000;

const SCENARIOS: Readonly<Record<string, () => readonly string[]>> = {
  claiming_lost_answer: recordLostAnswer,
  configuring_no_revert: recordNoRevert,
  ownership_frozen: recordFrozenOwner,
  ownership_revoked: recordRevokedSession,
  ownership_store_outage: recordStoreOutage,
  ownership_takeover: recordTakeover,
};

for (const [name, record] of Object.entries(SCENARIOS)) {
  const text = `${record().join("\n")}\n`;
  if (text.length > MAX_BYTES) {
    throw new Error(`The trace ${name} has ${text.length} bytes`);
  }
  writeFileSync(new URL(`../traces/${name}.jsonl`, import.meta.url), text);
  console.log(`${name}: ${text.length} bytes`);
}
