/**
 * Session lease, group ownership and deputy promises.
 *
 * @module
 */

export {};
