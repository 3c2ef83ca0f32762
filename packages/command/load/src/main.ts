#!/usr/bin/env node
/**
 * Entry point of the binary `dotterelmoor-load`.
 *
 * @module
 */

import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { buildFlags, command, describe, handler } from "./command.ts";

const parser = yargs(hideBin(process.argv)).usage(`${command[0]}: ${describe}`);

try {
  await handler(await buildFlags(parser).parse());
} catch (error) {
  console.error(error instanceof Error ? error.message : error);
  process.exitCode = 1;
}
