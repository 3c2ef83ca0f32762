#!/usr/bin/env node
/**
 * Entry point of the binary `dotterelmoor-replay`.
 *
 * @module
 */

import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { flags, handler, help, names } from "./command.ts";

await yargs(hideBin(process.argv))
  .scriptName("dotterelmoor-replay")
  .command(
    [...names],
    help,
    (argv) =>
      argv
        .positional("files", {
          array: true,
          demandOption: true,
          describe: "Trace files with one JSON object per line",
          type: "string",
        })
        .options(flags),
    async (args) => {
      process.exitCode = await handler(args, (text) => console.log(text));
    },
  )
  .strict()
  .fail((message, error, usage) => {
    console.error(`${message ?? error.message}\n\n${usage.help()}`);
    process.exit(2);
  })
  .parseAsync();
