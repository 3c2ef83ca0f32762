/**
 * The entry daemon.
 *
 * @module
 */

export {};
