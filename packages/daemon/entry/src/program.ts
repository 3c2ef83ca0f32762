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
import { handleSignals } from "@dotterelmoor/daemon.lifecycle";
import { createEntry } from "./wiring.ts";

/** Runs the program by the arguments and environment of the process. */
export async function runProgram(): Promise<void> {
  const argv = process.argv.slice(2);
  if (argv.includes("--help")) {
    console.log(`Usage: dotterelmoor-entry [flags]\n\n${describeEntryFlags()}`);
    return;
  }
  const loaded = loadEntrySettings({
    argv,
    env: process.env,
    readFile: (path) => readFileSync(path, "utf8"),
  });
  if (loaded.isErr()) {
    console.error(formatSettingsErrors(loaded.error));
    process.exitCode = SETTINGS_EXIT_CODE;
  } else if (loaded.value.printSettings) {
    console.log(renderEntrySettings(loaded.value));
  } else {
    await runEntry(loaded.value);
  }
}

async function runEntry(settings: EntrySettings): Promise<void> {
  const entry = createEntry(settings);
  handleSignals(entry);
  const { ready, callers, peers, operators } = await entry.started;
  await ready;
  console.log(JSON.stringify({ ready: true, callers, peers, operators }));
}
