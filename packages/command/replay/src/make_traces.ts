/**
 * Generates the committed traces of failure scenarios. Each scenario asserts
 * the outcome stated in traces/README.md.
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

/** Maximum size of a trace in bytes, so that it can be read by a person. */
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
    throw new Error(
      `Trace ${name} has ${text.length} bytes, over the limit`,
    );
  }
  writeFileSync(new URL(`../traces/${name}.jsonl`, import.meta.url), text);
  console.log(`${name}: ${text.length} bytes`);
}
