import test from "ava";
import { createQuarantine } from "@dotterelmoor/core.quarantine";
import { createShiftGate } from "@dotterelmoor/core.shifting";
import type { ShiftLimits } from "@dotterelmoor/core.types";
import type { Execution } from "../request/execution.ts";
import { ShiftAdmission } from "./shift_admission.ts";

const LIMITS: ShiftLimits = {
  cap: 1,
  windowMs: 1_000,
  startShare: 1,
  stepShare: 0,
};
const CONVICTION_MS = 60_000;

const SHIFTED: Execution = {
  service: "desk",
  homeRegion: "a",
  frontRegion: "b",
  kind: "all",
  method: "GET",
  path: "/",
  headers: {},
  body: new Uint8Array(),
  deadlineAtMs: 10_000,
  priority: "normal",
  repeatable: true,
  fingerprint: "f1",
  requestId: "q1",
};

/** Creates the admission of a group that was opened at time 0. */
function createAdmission() {
  const quarantine = createQuarantine({});
  const admission = new ShiftAdmission({
    region: "b",
    gate: createShiftGate({ limits: LIMITS, startedAtMs: 0 }),
    quarantine,
    windowMs: LIMITS.windowMs,
    startedAtMs: 0,
  });
  return { admission, quarantine };
}

// A group that was just opened counts its whole cap as used. With the refusal of
// the cap, the caller would not know that its request crashes servers.
test("guards against a convicted request that is refused for a used cap", (t) => {
  const { admission, quarantine } = createAdmission();
  t.like(admission.admit(SHIFTED, 10), { reason: "shift-cap" });
  const { fingerprint } = SHIFTED;
  quarantine.handle({
    type: "convicted",
    fingerprint,
    remainingMs: CONVICTION_MS,
  }, 10);
  t.deepEqual(admission.admit(SHIFTED, 20), {
    type: "not-run",
    reason: "quarantined",
    retryAfterMs: CONVICTION_MS - 10,
  });
  t.is(admission.admit({ ...SHIFTED, fingerprint: "f2" }, 2_000), undefined);
  t.is(admission.admit(SHIFTED, 10 + CONVICTION_MS), undefined);
});
