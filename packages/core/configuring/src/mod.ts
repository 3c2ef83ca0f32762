/**
 * Configuration versions: monotonic apply, spread and the start-up rule.
 *
 * @module
 */

export {};
