/**
 * Suspects and convictions for requests that crash backend servers.
 *
 * @module
 */

export {};
