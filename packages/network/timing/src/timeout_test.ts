import test from "ava";
import { startTimeout } from "./mod.ts";

// A call that completes in the turn in which its timer is due has not timed
// out.
test("guards against a timeout that expires after it was stopped", async (t) => {
  let calls = 0;
  const timeout = startTimeout(() => {
    calls += 1;
  }, 1);
  const isDue = new Promise((resolve) => setTimeout(resolve, 1));
  // Both timers are due in the same turn of the event loop.
  const startedAtMs = performance.now();
  while (performance.now() < startedAtMs + 10);
  await isDue;
  timeout.stop();
  await new Promise((resolve) => setTimeout(resolve, 20));
  t.is(calls, 0);
});

test("guards against a timeout that never expires", async (t) => {
  await new Promise<void>((resolve) => startTimeout(resolve, 1));
  t.pass();
});
