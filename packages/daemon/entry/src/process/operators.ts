/**
 * Listener for operators.
 *
 * @module
 */

import {
  createConfigurationActions,
  createOperatorApp,
} from "@dotterelmoor/daemon.operating";
import type {
  ConfigurationActions,
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
  /** A change was accepted through this entry. */
  readonly onAccepted: () => void;
  readonly onLifted: (fingerprint: string) => void;
}

/** Opens the listener for operators. */
export function openOperators(options: OperatorsOptions): Promise<Listener> {
  const table = createConfigurationActions({ table: options.platform });
  const app = createOperatorApp({
    actions: { ...notifyChanges(table, options), ...options.reports },
    tokens: options.tokens,
    log: options.log,
  });
  return openListener({
    host: options.host,
    port: options.port,
    maxConnections: MAX_CONNECTIONS,
    handler: app.callback(),
  });
}

/** Reports each accepted change, so that it spreads from here at once. */
function notifyChanges(
  table: ConfigurationActions,
  options: OperatorsOptions,
): ConfigurationActions {
  const { onAccepted } = options;
  return {
    ...table,
    submitDocument: (submission) =>
      table.submitDocument(submission).then((result) => {
        if (result.isOk()) onAccepted();
        return result;
      }),
    setDrain: (instance, origin) =>
      table.setDrain(instance, origin).then((result) => {
        if (result.isOk()) onAccepted();
        return result;
      }),
    removeDrain: (instance, origin) =>
      table.removeDrain(instance, origin).then((result) => {
        if (result.isOk()) onAccepted();
        return result;
      }),
    removeQuarantine: (fingerprint, origin) =>
      table.removeQuarantine(fingerprint, origin).then((result) => {
        if (result.isOk()) {
          onAccepted();
          options.onLifted(fingerprint);
        }
        return result;
      }),
  };
}
