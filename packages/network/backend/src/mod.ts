/**
 * Client of the backend servers and classification of outcomes.
 *
 * @module
 */

export {};
