/**
 * Process settings from YAML, environment and flags.
 *
 * @module
 */

export {};
