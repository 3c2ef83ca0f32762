import test from "ava";
import {
  sendRequest,
  startSystem,
  waitForGroups,
} from "@dotterelmoor/testing.demo";

const FROM = "127.1.0.5";
const QUERIES = [
  { service: "availdesk", path: "/availability", from: FROM },
  { service: "modelshelf", path: "/models", from: FROM },
];

// Ids that the owner counts per group would be equal on the shared connection.
test("guards against requests of two groups of one owner that share an id", async (t) => {
  const system = await startSystem({
    example: "consortium",
    regions: ["southeast"],
    teams: ["availdesk", "modelshelf"],
    entriesPerRegion: 1,
    serversPerGroup: 2,
    serverFlags: ["--service-ms", "50"],
  });
  t.teardown(() => system.stop());
  await waitForGroups(system, 2);
  const { callers } = system.entries[0]!;
  const views = await Promise.all(
    Array.from({ length: 12 }, () => QUERIES).flat().map(async (query) => ({
      query,
      view: await sendRequest(callers, query),
    })),
  );
  for (const { query, view } of views) {
    t.is(view.outcome, "answered");
    t.true(view.server.startsWith(`${query.service}-`), view.server);
  }
});
