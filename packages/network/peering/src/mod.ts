/**
 * Peer connections: length-bounded frames, hello and calls with ids.
 *
 * @module
 */

export {};
