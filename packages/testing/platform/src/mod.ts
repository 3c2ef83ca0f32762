/**
 * Stand-in for the platform's table service, object store and instance list.
 *
 * @module
 */

export {};
