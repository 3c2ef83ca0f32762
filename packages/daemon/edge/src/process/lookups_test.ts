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

const QUERY = { region: "a", zone: "a-1" };

test("guards against callers that are led to an entry which does not answer", (t) => {
  const membership = makeMembership([
    makeMember("a1", "a", "alive"),
    makeMember("a2", "a", "suspect"),
    makeMember("b1", "b", "alive"),
  ]);
  t.deepEqual(findEntries(membership, QUERY), ["a1"]);
});

test("guards against an empty answer while every entry is suspect", (t) => {
  const membership = makeMembership([makeMember("a1", "a", "suspect")]);
  t.deepEqual(findEntries(membership, QUERY), ["a1"]);
});

test("guards against an empty answer for a region that was lost", (t) => {
  const membership = makeMembership([makeMember("b1", "b", "alive")]);
  t.deepEqual(findEntries(membership, QUERY), ["b1"]);
});
