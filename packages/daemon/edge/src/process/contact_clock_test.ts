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

// The steady clock does not count the time for which an instance is suspended.
test("guards against knowledge that stays young while the instance is suspended", (t) => {
  const { now, clock } = startClock();
  clock.note(clock.mark());
  now.steadyMs += 10;
  now.wallMs += 5_000;
  t.is(clock.ageMs(), 5_000);
});

test("guards against knowledge that gets younger as the time of day is set back", (t) => {
  const { now, clock } = startClock();
  clock.note(clock.mark());
  now.steadyMs += 4_000;
  now.wallMs -= 60_000;
  t.is(clock.ageMs(), 4_000);
});

test("guards against a contact before any was made", (t) => {
  t.is(startClock().clock.ageMs(), Infinity);
});
