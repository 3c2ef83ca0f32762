import test from "ava";
import { BodyBudget } from "./body_budget.ts";
import type { BodyClaim } from "./body_budget.ts";

const WAIT_MS = 10_000;

/** Creates a budget of 100 bytes whose grants are recorded. */
function createBudget() {
  const budget = new BodyBudget(100);
  const granted: string[] = [];
  const claim = async (
    name: string,
    bytes: number,
    { waitMs = WAIT_MS, signal = new AbortController().signal } = {},
  ): Promise<BodyClaim | undefined> => {
    const result = await budget.claim(bytes, { waitMs, signal });
    granted.push(result === undefined ? `no ${name}` : name);
    return result;
  };
  return { claim, granted };
}

/** Waits until settled promises have called back. */
function waitForCallbacks(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

// With the smaller ones first, a large body would wait until its deadline.
test("guards against claims that are granted out of order", async (t) => {
  const { claim, granted } = createBudget();
  const first = await claim("first", 60);
  const large = claim("large", 80);
  const small = claim("small", 10);
  await waitForCallbacks();
  t.deepEqual(granted, ["first"]);
  first!.release();
  await Promise.all([large, small]);
  t.deepEqual(granted, ["first", "large", "small"]);
});

test("guards against bytes that are granted twice or never again", async (t) => {
  const { claim, granted } = createBudget();
  const first = await claim("first", 60);
  const second = await claim("second", 40);
  const third = claim("third", 60);
  second!.release();
  second!.release();
  await waitForCallbacks();
  t.deepEqual(granted, ["first", "second"]);
  first!.shrinkTo(40);
  first!.shrinkTo(50);
  const claims = [first, await third];
  const last = claim("last", 100);
  for (const held of claims) held!.release();
  await last;
  t.deepEqual(granted, ["first", "second", "third", "last"]);
});

test("guards against a body beyond the budget that is never read", async (t) => {
  const { claim, granted } = createBudget();
  const first = await claim("first", 1);
  const beyond = claim("beyond", 200);
  const next = claim("next", 1);
  await waitForCallbacks();
  t.deepEqual(granted, ["first"]);
  first!.release();
  (await beyond)!.release();
  await next;
  t.deepEqual(granted, ["first", "beyond", "next"]);
});

test("guards against a claim that was given up and holds up the others", async (t) => {
  const { claim, granted } = createBudget();
  const first = await claim("first", 60);
  const controller = new AbortController();
  const left = claim("left", 80, { signal: controller.signal });
  const late = claim("late", 80, { waitMs: 0 });
  const next = claim("next", 40);
  controller.abort();
  await Promise.all([left, late, next]);
  t.deepEqual(granted, ["first", "no left", "no late", "next"]);
  first!.release();
  await claim("last", 60);
  t.is(granted.at(-1), "last");
});
