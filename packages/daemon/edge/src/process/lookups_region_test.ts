import test from "ava";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { createMembership } from "@dotterelmoor/core.membership";
import type {
  Membership,
  MembershipEvent,
  MembershipMessage,
} from "@dotterelmoor/core.membership";
import { findEntries } from "./lookups.ts";
import { TIMINGS } from "./peers.ts";

/** Simulates entries under a virtual clock; messages take one tick. */
class Entries {
  nowMs = 0;
  /** True if messages from one address to another are lost. */
  isCut: (from: string, to: string) => boolean = () => false;
  readonly #machines = new Map<string, Membership>();
  readonly #random: () => number;
  #sent: { to: string; message: MembershipMessage }[] = [];

  constructor(names: readonly string[], seed: number) {
    const generator = xoroshiro128plus(seed);
    this.#random = () => (generator.next() >>> 0) / 2 ** 32;
    for (const name of names) this.start(name, names);
  }

  /** Starts an entry; the first letter of its name is its region. */
  start(name: string, seeds: readonly string[]): void {
    const machine = createMembership({
      self: {
        instance: name,
        processId: name,
        incarnation: 1,
        peerAddress: name,
        callerAddress: name,
        region: name[0]!,
        zone: `${name[0]}-1`,
        capacity: 378,
      },
      seeds: seeds.filter((seed) => seed !== name),
      random: this.#random,
      timings: TIMINGS,
    });
    this.#machines.set(name, machine);
    this.send(name, { type: "start" });
  }

  stop(name: string): void {
    this.#machines.delete(name);
  }

  send(name: string, event: MembershipEvent): void {
    const actions = this.#machines.get(name)?.handle(event, this.nowMs) ?? [];
    for (const action of actions) {
      if (action.type !== "send" || this.isCut(name, action.address)) continue;
      this.#sent.push({ to: action.address, message: action.message });
    }
  }

  runFor(ms: number, each: () => void = () => {}): void {
    const endMs = this.nowMs + ms;
    while (this.nowMs < endMs) {
      this.nowMs += 100;
      for (const { to, message } of this.#sent.splice(0)) {
        const fromAddress = message.sender.peerAddress;
        this.send(to, { type: "message", fromAddress, message });
      }
      for (const name of this.#machines.keys()) {
        this.send(name, { type: "tick" });
      }
      each();
    }
  }

  /** Regions of the entries that an entry returns to a caller, joined. */
  findRegions(name: string, region: string): string {
    const query = { region, zone: `${region}-1` };
    const named = findEntries(this.#machines.get(name)!, query);
    return [...new Set(named.map((entry) => entry.region))].sort().join();
  }
}

const NAMES = ["a1", "a2", "a3", "a4", "b1", "b2", "b3"];

test("guards against callers that are sent out of their region while entries there are alive", (t) => {
  const entries = new Entries(NAMES, 1);
  entries.runFor(20_000);
  // a1 learns of region b only from a2 to a4, which relay their lists every 10
  // s.
  entries.isCut = (from, to) =>
    (from === "a1" && to[0] === "b") || (to === "a1" && from[0] === "b");
  const wrong: string[] = [];
  entries.runFor(30_000, () => {
    const regions = entries.findRegions("a1", "b");
    if (regions !== "b") wrong.push(`${entries.nowMs}: ${regions}`);
  });
  t.deepEqual(wrong, []);
});

test("guards against callers that are still sent to a region that was lost", (t) => {
  const entries = new Entries(NAMES, 2);
  entries.runFor(20_000);
  for (const name of ["b1", "b2", "b3"]) entries.stop(name);
  // 4 s, plus the time that relayed ages do not count: one tick for each of up
  // to 10 hops.
  entries.runFor(5_200);
  for (const name of ["a1", "a2", "a3", "a4"]) {
    t.is(entries.findRegions(name, "b"), "a");
  }
});

test("guards against callers that an entry sends out of their region just after its start", (t) => {
  const entries = new Entries(["a1"], 3);
  entries.runFor(200);
  t.is(entries.findRegions("a1", "a"), "a");
  t.is(entries.findRegions("a1", "b"), "");
  entries.runFor(5_000);
  t.is(entries.findRegions("a1", "b"), "a");
});

test("guards against callers that an entry sends out of their region when it leaves before it has found the others", (t) => {
  const entries = new Entries(["b1"], 4);
  entries.start("a1", ["b1"]);
  entries.runFor(1_000);
  entries.send("a1", { type: "leave" });
  t.is(entries.findRegions("a1", "b"), "b");
  t.is(entries.findRegions("a1", "a"), "");
  entries.runFor(5_000);
  t.is(entries.findRegions("a1", "a"), "b");
});
