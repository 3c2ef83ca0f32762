#!/usr/bin/env node
/**
 * Entry point of the binary `dotterelmoor-entry`.
 *
 * @module
 */

import { ignoreReloads } from "@dotterelmoor/daemon.lifecycle";

ignoreReloads();
const { runProgram } = await import("./program.ts");
await runProgram();
