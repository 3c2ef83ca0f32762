import { once } from "node:events";
import { createServer } from "node:http";
import { connect } from "node:net";
import type { AddressInfo } from "node:net";
import test from "ava";
import type {
  MemberState,
  MemberUpdate,
  RegionState,
} from "@dotterelmoor/core.membership";
import { createLookupListener, findEntries } from "./lookups.ts";
import type { LookupMembership, LookupOptions } from "./lookups.ts";

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

function makeMembership(
  members: readonly MemberUpdate[],
  state: RegionState,
  remembered: readonly MemberUpdate[],
): LookupMembership {
  return {
    liveMembers: (region?: string) =>
      members.filter((member) =>
        region === undefined || member.region === region
      ),
    regionState: () => state,
    rememberedMembers: () => remembered,
  };
}

function findAddresses(
  members: readonly MemberUpdate[],
  state: RegionState = "lost",
  remembered: readonly MemberUpdate[] = [],
): string[] {
  return findEntries(makeMembership(members, state, remembered), QUERY)
    .map(({ callerAddress }) => callerAddress);
}

const QUERY = { region: "a", zone: "a-1" };

test("guards against callers that are sent to an entry which does not answer", (t) => {
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

test("guards against a caller that is sent to another region because no recent address is known", (t) => {
  const others = [makeMember("b1", "b", "alive")];
  const remembered = [makeMember("a1", "a", "alive")];
  t.deepEqual(findAddresses(others, "live", remembered), ["a1"]);
  t.deepEqual(findAddresses(others, "unknown", remembered), ["a1"]);
  t.deepEqual(findAddresses(others, "live"), []);
  t.deepEqual(findAddresses(others, "unknown"), []);
});

// It ended in an error of the process, and the caller got no answer.
for (const target of ["//", "http://[", "http://"]) {
  test(`guards against a look-up without an answer because of its target: ${target}`, async (t) => {
    const listener = createLookupListener({
      protocol: { lookupPath: "/lookup" },
      maxTtlS: 5,
    } as LookupOptions);
    const server = createServer(listener);
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const socket = connect(port, "127.0.0.1");
    t.teardown(() => {
      socket.destroy();
      server.close();
    });
    socket.write(`GET ${target} HTTP/1.1\r\nhost: x\r\n\r\n`);
    const [answer] = await once(socket, "data");
    t.regex(String(answer), /^HTTP\/1.1 404 /);
  });
}
