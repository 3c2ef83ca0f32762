/**
 * Central queue of a target group: slots, priority classes, deadlines and drain eligibility.
 *
 * @module
 */

export {};
