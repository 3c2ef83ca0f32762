/**
 * Stand-in backend server.
 *
 * @module
 */

export {};
