/**
 * Context in which a change is applied to the catalog.
 *
 * @module
 */

/** Table position and time at which a change is applied. */
export interface ChangeContext {
  readonly version: number;
  readonly era: number;
  readonly nowMs: number;
  /** True if the change is of the first table of a new era. */
  readonly hasLost: boolean;
  /** True if the change comes from another entry; those omit heartbeats. */
  readonly isRelayed: boolean;
}
