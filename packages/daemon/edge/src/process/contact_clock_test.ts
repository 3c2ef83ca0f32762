import test from "ava";
import { ContactClock } from "./contact_clock.ts";

function startClock() {
  const now = { steadyMs: 1_000, wallMs: 1_700_000_000_000 };
  const clock = new ContactClock({
    steadyMs: () => now.steadyMs,
    wallMs: () => now.wallMs,
  });
  return { now, clock };
}

// The monotonic clock does not count the time for which an instance is
// suspended.
test("guards against a contact that does not age while the instance is suspended", (t) => {
  const { now, clock } = startClock();
  clock.note(clock.mark());
  now.steadyMs += 10;
  now.wallMs += 5_000;
  t.is(clock.ageMs(), 5_000);
});

test("guards against a contact that becomes younger when the time of day is set back", (t) => {
  const { now, clock } = startClock();
  clock.note(clock.mark());
  now.steadyMs += 4_000;
  now.wallMs -= 60_000;
  t.is(clock.ageMs(), 4_000);
});

test("guards against a finite age before the first contact", (t) => {
  t.is(startClock().clock.ageMs(), Infinity);
});
