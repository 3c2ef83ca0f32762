import test from "ava";
import {
  callOperatorApi,
  lookUp,
  sendRequest,
  startSystem,
  waitForGroups,
  waitUntil,
} from "@dotterelmoor/testing.demo";

const HOLD = { service: "holdkeeper", path: "/holds", from: "127.1.0.5" };

// Only the issuer can check a key, so other entries forward requests to it
// while it is leaving.
test("guards against a key that is refused because its issuer is leaving", async (t) => {
  const system = await startSystem({
    example: "consortium",
    regions: ["southeast"],
    teams: ["holdkeeper"],
    entriesPerRegion: 2,
    serversPerGroup: 1,
  });
  t.teardown(() => system.stop());
  await waitForGroups(system, 1);
  const [issuer, other] = system.entries;
  const { issuedKey } = await lookUp(issuer!.callers, HOLD);
  issuer!.process.terminate();
  await waitUntil(async () => {
    const { body } = await callOperatorApi<
      { readonly members: readonly Record<string, string>[] }
    >(other!.operators, "/v1/status");
    return body.members.some(({ instance, state }) =>
      instance === issuer!.instance && state === "leaving"
    );
  }, { timeoutMs: 1_000, what: "that the issuer is leaving" });
  // A key issued now would delay the issuer's exit or could no longer be used.
  const laterLookup = await lookUp(issuer!.callers, HOLD);
  t.is(laterLookup.issuedKey, undefined);
  t.deepEqual(laterLookup.entries.map(({ address }) => address), [
    other!.callers,
  ]);
  const request = { ...HOLD, method: "POST", key: issuedKey } as const;
  t.like(await sendRequest(other!.callers, request), { outcome: "answered" });
  t.like(await sendRequest(other!.callers, request), { outcome: "unknown" });
  t.is(await issuer!.process.exited, 0);
});
