/**
 * Transactions that change the configuration, with audit rows and change ids.
 *
 * @module
 */

export {};
