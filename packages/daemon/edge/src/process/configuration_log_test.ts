import test from "ava";
import { buildDocument, buildRoute } from "../edge_fixture.ts";
import { createConfigurationLog } from "./configuration_log.ts";

function recordAll(
  versions: readonly (readonly [number, string])[],
): Record<string, unknown>[] {
  const lines: Record<string, unknown>[] = [];
  const log = createConfigurationLog({
    info: (fields: object) => lines.push({ ...fields }),
  });
  for (const [version, source] of versions) {
    const free = buildRoute({ name: "free" });
    const bound = buildRoute({ name: "bound", allowedRegions: ["a"] });
    log.record(buildDocument(version, [free, bound]), source, 1_234.5);
  }
  return lines;
}

// Without the regions and the source, a late configuration can't be
// distinguished from a wrong choice of server.
test("guards against a change of a route's regions that is missing from the logs", (t) => {
  const [line] = recordAll([[3, "store"]]);
  t.deepEqual(line, {
    version: 3,
    source: "store",
    spreadMs: 1_235,
    routes: 2,
    boundRoutes: 1,
    allowedRegions: { bound: ["a"] },
  });
});

// The catalog is updated several times per second.
test("guards against a log line for each update of the catalog", (t) => {
  const lines = recordAll([[3, "store"], [3, "store"], [5, "e1"]]);
  t.deepEqual(lines.map(({ version }) => version), [3, 5]);
});
