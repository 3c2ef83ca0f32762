#!/usr/bin/env node
/**
 * Entry point of the binary `dotterelmoor-ctl`.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import { setTimeout as wait } from "node:timers/promises";
import process from "node:process";
import { runCtl } from "./running.ts";

process.exitCode = await runCtl(process.argv.slice(2), {
  env: process.env,
  readFile: (path) => readFileSync(path, "utf8"),
  writeOut: (text) => void process.stdout.write(`${text}\n`),
  writeError: (text) => void process.stderr.write(`${text}\n`),
  wait: (durationMs) => wait(durationMs),
  makeChangeId: randomUUID,
});
