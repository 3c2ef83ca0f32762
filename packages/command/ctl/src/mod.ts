/**
 * The operators' command line.
 *
 * @module
 */

export {};
