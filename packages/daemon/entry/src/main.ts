#!/usr/bin/env node
/**
 * Command line of the entry daemon.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import process from "node:process";
import {
  describeEntryFlags,
  formatSettingsErrors,
  loadEntrySettings,
  renderEntrySettings,
  SETTINGS_EXIT_CODE,
} from "@dotterelmoor/config.settings";
import type { EntrySettings } from "@dotterelmoor/config.settings";
import { startEntry } from "./wiring.ts";

async function runEntry(settings: EntrySettings): Promise<void> {
  const entry = await startEntry(settings);
  let stopping = false;
  const stop = () => {
    if (stopping) return;
    stopping = true;
    entry.leave().then(() => process.exit(0), () => process.exit(1));
  };
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
  await entry.ready;
  const { callers, peers, operators } = entry;
  console.log(JSON.stringify({ ready: true, callers, peers, operators }));
}

const argv = process.argv.slice(2);
if (argv.includes("--help")) {
  console.log(`Usage: dotterelmoor-entry [flags]\n\n${describeEntryFlags()}`);
  process.exit(0);
}
const loaded = loadEntrySettings({
  argv,
  env: process.env,
  readFile: (path) => readFileSync(path, "utf8"),
});
if (loaded.isErr()) {
  console.error(formatSettingsErrors(loaded.error));
  process.exit(SETTINGS_EXIT_CODE);
} else if (loaded.value.printSettings) {
  console.log(renderEntrySettings(loaded.value));
} else {
  await runEntry(loaded.value);
}
