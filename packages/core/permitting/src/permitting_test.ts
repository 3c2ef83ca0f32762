import test from "ava";
import fc from "fast-check";
import {
  createRandom,
  VirtualTime,
} from "../../ownership/src/table_fixture.ts";
import { BUCKET_S, GRANTED_SHARE } from "./limits.ts";
import { createPermitHolder, createPermitLedger } from "./mod.ts";
import type { PermitHolder, PermitLedger } from "./mod.ts";

const RUN = { seed: 20261204, includeErrorInReport: true, endOnFailure: true };

const BUDGET = 37_500_000;

const GRANTED = BUDGET * GRANTED_SHARE;

interface Sender {
  readonly machine: PermitHolder;
  readonly name: string;
  readonly rate: number;
  messageBytes: number;
  /** Sends messages whole, even if they are larger than the bucket. */
  sendsWhole: boolean;
  frozenUntilMs: number;
  inbox: (() => void)[];
}

interface Owner {
  readonly machine: PermitLedger;
  readonly rate: number;
  /** True time at which its authority over the link ends. */
  authorityUntilMs: number;
}

/**
 * Simulation of a link, its senders and the successive owners of its ledger.
 */
class World {
  readonly time = new VirtualTime();
  readonly sent: { atMs: number; bytes: number; from: string }[] = [];
  readonly senders: Sender[] = [];
  readonly random: () => number;
  readonly #clockRates: readonly number[];
  owner!: Owner;
  loss = 0;
  /** Highest sum of the rates that the holders could use at one time. */
  highestRate = 0;

  constructor(
    seed: number,
    count: number,
    { messageBytes = 8_192, clockRates = [0.99, 1.01] } = {},
  ) {
    this.random = createRandom(seed);
    this.#clockRates = clockRates;
    this.replaceLedger();
    for (let index = 0; index < count; index++) {
      const sender: Sender = {
        machine: createPermitHolder({ budgetBytesPerSecond: BUDGET }),
        name: `sender-${index}`,
        rate: this.#makeClockRate(),
        messageBytes,
        sendsWhole: false,
        frozenUntilMs: 0,
        inbox: [],
      };
      this.senders.push(sender);
      this.time.after(this.random() * 5, () => this.#tick(sender));
    }
  }

  /** Ends the authority of the current ledger and opens a new one at once. */
  replaceLedger(): void {
    if (this.owner !== undefined) {
      this.owner.authorityUntilMs = this.time.nowMs;
    }
    this.owner = {
      machine: createPermitLedger({ budgetBytesPerSecond: BUDGET }),
      rate: this.#makeClockRate(),
      authorityUntilMs: Infinity,
    };
    this.owner.machine.handle({ type: "open" }, this.#localMs(this.owner));
  }

  freeze(sender: Sender, durationMs: number): void {
    sender.frozenUntilMs = this.time.nowMs + durationMs;
  }

  /** Finds the most bytes sent in any window of 1 s. */
  findPeak(): number {
    let peak = 0;
    let sum = 0;
    let first = 0;
    for (const { atMs, bytes } of this.sent) {
      sum += bytes;
      while (this.sent[first]!.atMs <= atMs - 1_000) {
        sum -= this.sent[first++]!.bytes;
      }
      peak = Math.max(peak, sum);
    }
    return peak;
  }

  /** Computes the bytes per second sent from one time to another. */
  computeRate(fromMs: number, toMs: number, name?: string): number {
    const bytes = this.sent
      .filter(({ atMs }) => atMs >= fromMs && atMs < toMs)
      .filter(({ from }) => name === undefined || from === name)
      .reduce((sum, message) => sum + message.bytes, 0);
    return bytes / (toMs - fromMs) * 1_000;
  }

  #tick(sender: Sender): void {
    this.time.after(5, () => this.#tick(sender));
    if (this.time.nowMs < sender.frozenUntilMs) return;
    sender.inbox.splice(0).forEach((receive) => receive());
    const nowMs = this.#localMs(sender);
    for (const request of sender.machine.handle({ type: "tick" }, nowMs)) {
      this.#send(() => this.#answer(sender, request));
    }
    if (sender.messageBytes > 0) this.#transmit(sender, nowMs);
  }

  #transmit(sender: Sender, nowMs: number): void {
    const { sendsWhole, machine, messageBytes, name } = sender;
    for (;;) {
      const isWhole = sendsWhole || messageBytes <= machine.maxTake(nowMs);
      const bytes = isWhole
        ? machine.take(messageBytes, nowMs) && messageBytes
        : machine.takeUpTo(messageBytes, nowMs);
      if (!bytes) return;
      this.sent.push({ atMs: this.time.nowMs, bytes, from: name });
    }
  }

  /**
   * Passes a request to the ledger if its owner has authority over the link.
   */
  #answer(
    sender: Sender,
    request: { requestId: number; demand: number },
  ): void {
    const { owner } = this;
    if (owner.authorityUntilMs <= this.time.nowMs) return;
    const grants = owner.machine.handle(
      { ...request, type: "request", holder: sender.name },
      this.#localMs(owner),
    );
    const receive = (requestId: number, rate: number) => {
      const nowMs = this.#localMs(sender);
      sender.machine.handle({ type: "granted", requestId, rate }, nowMs);
      this.#measureRate();
    };
    for (const { requestId, rate } of grants) {
      this.#send(() => {
        if (this.time.nowMs >= sender.frozenUntilMs) receive(requestId, rate);
        else sender.inbox.push(() => receive(requestId, rate));
      });
    }
  }

  #measureRate(): void {
    const rates = this.senders.map((sender) =>
      sender.machine.maxTake(this.#localMs(sender)) / BUCKET_S
    );
    const sum = rates.reduce((total, rate) => total + rate, 0);
    this.highestRate = Math.max(this.highestRate, sum);
  }

  #send(deliver: () => void): void {
    if (this.random() < this.loss) return;
    const isSlow = this.random() < 0.05;
    this.time.after(this.random() * (isSlow ? 900 : 2), deliver);
  }

  #localMs(clock: { readonly rate: number }): number {
    return 5_000 + this.time.nowMs * clock.rate;
  }

  #makeClockRate(): number {
    return this
      .#clockRates[Math.floor(this.random() * this.#clockRates.length)]!;
  }
}

const stepArbitrary = fc.record({
  kind: fc.constantFrom("freeze", "ledger", "loss", "switch", "swap"),
  pauseMs: fc.integer({ min: 1, max: 1_500 }),
  sender: fc.nat(17),
  durationMs: fc.integer({ min: 50, max: 2_500 }),
});

const SIZES = [0, 0, 1_024, 8_192, 40_000, 4 * 2 ** 20];

// Frozen senders and late or lost grants keep old permits in use while new ones
// are granted, and a new owner doesn't know the permits of the previous one.
test("guards against more bytes on the link than the budget in any 1 s", (t) => {
  const property = fc.property(
    fc.integer({ min: 0, max: 0x7fffffff }),
    fc.integer({ min: 2, max: 18 }),
    fc.array(stepArbitrary, { minLength: 2, maxLength: 12 }),
    (seed, count, steps) => {
      const world = new World(seed, count);
      world.time.runUntil(2_000);
      for (const { kind, sender: index, durationMs, pauseMs } of steps) {
        const sender = world.senders[index % count]!;
        if (kind === "freeze") world.freeze(sender, durationMs);
        if (kind === "ledger") world.replaceLedger();
        if (kind === "loss") world.loss = world.loss > 0 ? 0 : 0.3;
        if (kind === "switch") {
          sender.messageBytes = SIZES[durationMs % SIZES.length]!;
        }
        if (kind === "swap") {
          for (const [position, other] of world.senders.entries()) {
            other.messageBytes = position % 2 === index % 2 ? 1_024 : 0;
          }
        }
        world.time.runUntil(world.time.nowMs + pauseMs);
      }
      const peak = world.findPeak();
      if (peak > BUDGET) throw new Error(`${peak} bytes in 1 s`);
      const rate = world.highestRate;
      if (rate > GRANTED) throw new Error(`${rate} bytes/s may be used`);
    },
  );
  fc.assert(property, { ...RUN, numRuns: 150 });
  t.pass();
});

// Equal shares, request intervals and margins must not leave the link idle.
test("guards against a link that is in use below 90 % under demand", (t) => {
  const world = new World(1, 18);
  world.time.runUntil(12_000);
  const rate = world.computeRate(2_000, 12_000);
  t.log(`${(rate / BUDGET * 100).toFixed(1)} % in use`);
  t.true(rate >= 0.9 * BUDGET);
  t.true(world.findPeak() <= BUDGET);
});

// An idle sender's share must go to the others, and back once it sends again.
test("guards against unequal shares and spare rate that nobody gets", (t) => {
  const world = new World(1, 3);
  world.senders[0]!.messageBytes = 0;
  world.time.runUntil(4_000);
  const before = world.computeRate(2_500, 4_000);
  t.true(before >= 0.9 * BUDGET, "Two senders have the whole link");
  world.senders[0]!.messageBytes = 8_192;
  world.time.runUntil(8_000);
  for (const { name } of world.senders) {
    const share = world.computeRate(6_000, 8_000, name) / BUDGET;
    t.true(Math.abs(share - 0.31) < 0.02, `${name} has ${share}`);
  }
});

// The worst case of the bound in limits.ts: all buckets are full at the start
// of a window, and all clocks run 1 % fast.
test("guards against full buckets and fast clocks that fill a window", (t) => {
  const world = new World(1, 18, { messageBytes: 512, clockRates: [1.01] });
  world.time.runUntil(3_000);
  world.senders.forEach((sender) => world.freeze(sender, 100));
  world.time.runUntil(5_000);
  const peak = world.findPeak() / BUDGET;
  t.true(peak <= 1 && peak > 0.995, `${peak} of the budget in 1 s`);
});

// Each sender may exceed the budget of a window by the size of a message minus
// its bucket; the debt must keep the average rate within the budget.
test("guards against a whole large message beyond the stated bound", (t) => {
  const messageBytes = 4 * 2 ** 20;
  const world = new World(1, 4, { messageBytes });
  world.senders.forEach((sender) => sender.sendsWhole = true);
  world.time.runUntil(20_000);
  const depth = GRANTED / 4 * BUCKET_S;
  t.true(world.findPeak() <= BUDGET + 4 * (messageBytes - depth));
  t.true(world.computeRate(5_000, 20_000) <= BUDGET);
});
