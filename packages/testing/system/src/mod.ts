/**
 * Tests of whole systems of separate processes under failure.
 *
 * @module
 */

export {};
