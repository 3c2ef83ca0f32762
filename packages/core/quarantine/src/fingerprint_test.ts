import test from "ava";
import { computeFingerprint } from "./fingerprint.ts";

const REQUEST = { service: "desk", method: "POST", path: "/a" };

// A repeat of the request may arrive in other parts.
test("guards against a fingerprint that depends on the parts of the body", (t) => {
  const compute = (body: Uint8Array | readonly Uint8Array[]) =>
    computeFingerprint({ ...REQUEST, body });
  const whole = Buffer.from("a body");
  t.is(compute([whole.subarray(0, 2), whole.subarray(2)]), compute(whole));
  t.is(compute([whole]), compute(whole));
  t.is(compute([]), computeFingerprint(REQUEST));
  t.not(compute([whole.subarray(2)]), compute(whole));
});
