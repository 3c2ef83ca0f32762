/**
 * Replay of recorded traces.
 *
 * @module
 */

export {};
