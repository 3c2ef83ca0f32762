/**
 * Team and platform documents in YAML with located errors.
 *
 * @module
 */

export {};
