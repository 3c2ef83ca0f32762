/**
 * Claimed and issued idempotency keys.
 *
 * @module
 */

export {};
