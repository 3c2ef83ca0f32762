/**
 * Edge daemon, which sends callers' requests directly to backend servers, for
 * installations whose platform registers servers and configurations in its
 * store. Each of its processes is an entry.
 *
 * @module
 */

export {
  liftQuarantine,
  listQuarantined,
} from "./process/quarantine_commands.ts";
export { createEdge, startEdge } from "./wiring.ts";
export type { Edge } from "./wiring.ts";
export type {
  CallerProtocol,
  CallerRequest,
  CatalogStore,
  CrashNoteChanges,
  EdgeBounds,
  EdgePlatform,
  EdgeSettings,
  ListenAddress,
  LookupQuery,
  ServerNotice,
  StoreError,
} from "./ports.ts";
