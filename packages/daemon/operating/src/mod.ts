/**
 * HTTP interface for operators: documents, history, drains, quarantine, leases and status.
 *
 * @module
 */

export {};
