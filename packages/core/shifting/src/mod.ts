/**
 * Sliding-window cap and ramp for traffic shifted into a target group.
 *
 * @module
 */

export {};
