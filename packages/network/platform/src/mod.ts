/**
 * Client of the platform's table, object store and instance list.
 *
 * @module
 */

export {};
