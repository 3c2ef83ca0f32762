/**
 * Listener of the operators' interface.
 *
 * @module
 */

import {
  createConfigurationActions,
  createOperatorApp,
} from "@dotterelmoor/daemon.operating";
import type {
  DaemonReports,
  OperatorToken,
} from "@dotterelmoor/daemon.operating";
import type { PlatformClient } from "@dotterelmoor/network.platform";
import type { Logger } from "pino";
import { openListener } from "./listeners.ts";
import type { Listener } from "./listeners.ts";

const MAX_CONNECTIONS = 64;

/** Options of `openOperators`. */
export interface OperatorsOptions {
  readonly host: string;
  readonly port: number;
  readonly platform: PlatformClient;
  readonly reports: DaemonReports;
  readonly tokens: readonly OperatorToken[];
  readonly log: Logger;
}

/** Opens the listener of the operators' interface. */
export function openOperators(options: OperatorsOptions): Promise<Listener> {
  const table = createConfigurationActions({ table: options.platform });
  const app = createOperatorApp({
    actions: { ...table, ...options.reports },
    tokens: options.tokens,
    log: options.log,
  });
  return openListener({
    host: options.host,
    port: options.port,
    maxConnections: MAX_CONNECTIONS,
    handler: app.callback(),
    log: options.log,
  });
}
