/**
 * Load and experiment tool.
 *
 * @module
 */

export {};
