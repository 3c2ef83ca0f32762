/**
 * End-to-end tests of systems of separate processes under failures.
 *
 * @module
 */

export {};
