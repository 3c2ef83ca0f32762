/**
 * Launcher of a small system on loopback and process helpers for tests.
 *
 * @module
 */

export {};
