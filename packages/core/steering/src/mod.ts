/**
 * Look-up answers, target region order and the client-block table.
 *
 * @module
 */

export {};
