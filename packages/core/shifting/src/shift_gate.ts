/**
 * Shift gate of a target group.
 *
 * @module
 */

import { applyEvent } from "@dotterelmoor/core.types";
import type { EventHandlers, ShiftLimits } from "@dotterelmoor/core.types";
import { Ramp } from "./ramp.ts";
import { SlidingWindow } from "./sliding_window.ts";
import type {
  ShiftAction,
  ShiftEvent,
  ShiftGate,
  ShiftGateOptions,
} from "./types.ts";

/** Retry delay while the cap is 0, when waiting for the window doesn't help. */
const CLOSED_RETRY_MS = 60_000;

/** Creates the gate for traffic shifted into one target group. */
export function createShiftGate(options: ShiftGateOptions): ShiftGate {
  return new CappedGate(options);
}

class CappedGate implements ShiftGate {
  readonly #jitterMs: number;
  readonly #ramp: Ramp;
  readonly #window: SlidingWindow;
  #limits: ShiftLimits;
  /**
   * Latest time seen; the caller's clock may step back, the window must not.
   */
  #latestMs: number;

  readonly #handlers: EventHandlers<ShiftEvent, ShiftAction[]> = {
    admit: ({ id }, nowMs) => this.#admit(id, nowMs),
    withdraw: ({ admittedAtMs }) => {
      this.#window.remove(admittedAtMs);
      return [];
    },
    measurement: ({ condition }, nowMs) => {
      const used = this.getUsed(nowMs);
      this.#ramp.recordMeasurement(condition, { used, nowMs });
      return [];
    },
    settings: ({ limits }) => {
      this.#setLimits(limits);
      return [];
    },
  };

  constructor(options: ShiftGateOptions) {
    const { limits, startedAtMs, jitterMs = 0 } = options;
    this.#limits = limits;
    this.#jitterMs = jitterMs;
    this.#ramp = new Ramp(limits);
    // The previous owner may have admitted the whole cap just before.
    this.#window = new SlidingWindow(limits.windowMs + jitterMs, startedAtMs);
    this.#latestMs = startedAtMs;
  }

  get share(): number {
    return this.#ramp.share;
  }

  getUsed(nowMs: number): number {
    const used = this.#window.getUsed(Math.max(nowMs, this.#latestMs));
    return Math.min(used, this.#limits.cap);
  }

  getRemaining(nowMs: number): number {
    return Math.max(0, this.#ramp.allowed - this.getUsed(nowMs));
  }

  handle(event: ShiftEvent, nowMs: number): ShiftAction[] {
    this.#latestMs = Math.max(nowMs, this.#latestMs);
    return applyEvent(this.#handlers, event, this.#latestMs);
  }

  #admit(id: string, nowMs: number): ShiftAction[] {
    this.#ramp.recordDemand(nowMs);
    if (this.getRemaining(nowMs) > 0) {
      this.#window.add(nowMs);
      return [{ type: "admitted", id }];
    }
    const { allowed } = this.#ramp;
    const waitMs = allowed === 0
      ? CLOSED_RETRY_MS
      : this.#window.getWaitMs(allowed - 1, nowMs);
    // Both ends of the window are inclusive, so the admission counts until just
    // after it.
    const retryAfterMs = Math.floor(waitMs) + 1;
    return [{ type: "refused", id, retryAfterMs }];
  }

  #setLimits(limits: ShiftLimits): void {
    this.#window.setWindowMs(limits.windowMs + this.#jitterMs);
    this.#ramp.setLimits(limits);
    this.#limits = limits;
  }
}
