import test from "ava";
import { AnswerBudget, GUARANTEED_BYTES } from "./answer_budget.ts";

const KIB = 1_024;

/** Opens shares that record their names when they are rejected. */
function createBudget(maxBytes: number) {
  const budget = new AnswerBudget(maxBytes);
  const rejected: string[] = [];
  const open = (name: string, announcedBytes?: number) => {
    const share = budget.open(() => rejected.push(name));
    if (announcedBytes !== undefined) share.setAnnounced(announcedBytes);
    return share;
  };
  return { open, rejected };
}

// Small answers make up most of the requests, and cost the least to keep.
test("guards against rejecting a small answer in place of one without end", (t) => {
  const { open, rejected } = createBudget(1_000 * KIB);
  open("announced", 100 * KIB).setHeld(100 * KIB);
  open("chunked").setHeld(100 * KIB);
  open("endless").setHeld(700 * KIB);
  open("late", 200 * KIB).setHeld(200 * KIB);
  t.deepEqual(rejected, ["endless"]);
});

// A server that stops early has sent less than the sound answer.
test("guards against rejecting a sound answer in place of one that stops early", (t) => {
  const { open, rejected } = createBudget(1_000 * KIB);
  open("stopped", 4_000 * KIB).setHeld(400 * KIB);
  open("sound", 700 * KIB).setHeld(700 * KIB);
  t.deepEqual(rejected, ["stopped"]);
});

test("guards against rejecting an answer of one read, however many there are", (t) => {
  const { open, rejected } = createBudget(1_000 * KIB);
  for (let index = 0; index < 100; index++) {
    open(`a${index}`, 4_000 * KIB).setHeld(GUARANTEED_BYTES);
  }
  t.deepEqual(rejected, []);
  open("larger").setHeld(GUARANTEED_BYTES + 1);
  t.deepEqual(rejected, ["larger"]);
});

test("guards against rejecting an answer that has ended", (t) => {
  const { open, rejected } = createBudget(1_000 * KIB);
  const ended = open("ended");
  ended.setHeld(900 * KIB);
  ended.release();
  open("later").setHeld(900 * KIB);
  t.deepEqual(rejected, []);
});

test("guards against bytes that stay counted after their answer has ended", (t) => {
  const { open, rejected } = createBudget(1_000 * KIB);
  for (let index = 0; index < 10; index++) {
    const share = open(`a${index}`);
    share.setHeld(400 * KIB);
    share.setHeld(900 * KIB);
    share.release();
    // The end of the exchange releases it again.
    share.release();
  }
  t.deepEqual(rejected, []);
  const rejectedShare = open("rejected");
  rejectedShare.setHeld(1_001 * KIB);
  rejectedShare.release();
  open("next").setHeld(1_000 * KIB);
  t.deepEqual(rejected, ["rejected"]);
});
