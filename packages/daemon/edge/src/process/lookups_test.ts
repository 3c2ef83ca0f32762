import test from "ava";
import type { MemberState, MemberUpdate } from "@dotterelmoor/core.membership";
import { findEntries } from "./lookups.ts";

function makeMember(
  callerAddress: string,
  region: string,
  state: MemberState,
): MemberUpdate {
  return {
    type: "member",
    instance: callerAddress,
    processId: callerAddress,
    incarnation: 1,
    peerAddress: "",
    callerAddress,
    region,
    zone: `${region}-1`,
    capacity: 378,
    counter: 0,
    state,
  };
}

function makeMembership(members: readonly MemberUpdate[]) {
  return {
    liveMembers: (region?: string) =>
      members.filter((member) =>
        region === undefined || member.region === region
      ),
  };
}

function findAddresses(members: readonly MemberUpdate[]): string[] {
  return findEntries(makeMembership(members), QUERY)
    .map(({ callerAddress }) => callerAddress);
}

const QUERY = { region: "a", zone: "a-1" };

test("guards against callers that are led to an entry which does not answer", (t) => {
  const addresses = findAddresses([
    makeMember("a1", "a", "alive"),
    makeMember("a2", "a", "suspect"),
    makeMember("b1", "b", "alive"),
  ]);
  t.deepEqual(addresses, ["a1"]);
});

test("guards against an empty answer while every entry is suspect", (t) => {
  t.deepEqual(findAddresses([makeMember("a1", "a", "suspect")]), ["a1"]);
});

test("guards against an empty answer for a region that was lost", (t) => {
  t.deepEqual(findAddresses([makeMember("b1", "b", "alive")]), ["b1"]);
});
