import test from "ava";
import { createCatalog } from "./mod.ts";
import type { ServerRecord } from "./mod.ts";

const RECORD: ServerRecord = {
  id: "s1",
  service: "desk",
  address: "10.0.0.1:80",
  zone: "a-1",
  slots: 3,
  state: "ready",
  coldMs: 2_000,
  bornMs: 100,
  sequence: 5,
};

for (const isRead of [false, true]) {
  // A longer cold time must also replace that of a list that was cached.
  test(`guards against an outdated cold time of a server, with its list cached: ${isRead}`, (t) => {
    const reader = createCatalog({ zones: { "a-1": "a" } });
    const follower = createCatalog({ zones: { "a-1": "a" } });
    const put = (version: number, record: ServerRecord, nowMs: number) => {
      reader.applyTable("servers", {
        version,
        isComplete: false,
        changes: [{ type: "server", record }],
      }, nowMs);
      follower.applyDelta(
        reader.changesSince(follower.position, nowMs),
        nowMs,
      );
    };
    put(1, RECORD, 0);
    if (isRead) {
      reader.findServers("desk", 0);
      follower.findServers("desk", 0);
    }
    put(2, { ...RECORD, coldMs: 8_000, sequence: 6 }, 1_000);
    const coldUntil = (catalog: typeof reader) =>
      catalog.findServers("desk", 1_000)[0]!.coldUntilMs;
    t.is(coldUntil(reader), 9_000, "reader");
    t.is(coldUntil(follower), 9_000, "follower");
  });
}
