/**
 * Probing, suspicion and gossip of bounded soft state.
 *
 * @module
 */

export {};
