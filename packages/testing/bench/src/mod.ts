/**
 * Benchmarks and baselines over the decision library.
 *
 * @module
 */

export {};
