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

// Without the regions and the source, logs cannot tell a late change from a
// wrong choice of server.
test("guards against a change of a route's regions that logs do not show", (t) => {
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

// The catalog is brought up to date several times a second.
test("guards against a line for each update of the catalog", (t) => {
  const lines = recordAll([[3, "store"], [3, "store"], [5, "e1"]]);
  t.deepEqual(lines.map(({ version }) => version), [3, 5]);
});
