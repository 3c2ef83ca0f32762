/**
 * Retry budget and backoff.
 *
 * @module
 */

export {};
