import test from "ava";
import { parseFrameValue } from "./envelope.ts";
import { decodeFrame, encodeFrame, encodePayload } from "./frames.ts";
import type { PeerMessage } from "./messages.ts";

test("guards against valid messages that are rejected, and messages with a wrong field that are accepted", (t) => {
  const request = {
    service: "holdkeeper",
    method: "POST",
    path: "/holds",
    headers: { accept: "*/*" },
    body: Buffer.from([0, 255]),
    deadlineMs: 10.5,
    requestId: "r",
  };
  const answered = {
    status: 200,
    headers: {},
    body: request.body,
    server: "s",
  };
  const snapshot = {
    sequence: 3,
    platform: {
      regions: [],
      links: [],
      clientBlocks: [],
      limits: { maxDeadlineMs: 1, maxConcurrency: 1, maxShiftCap: 1 },
    },
    teams: {},
    drains: ["i-1"],
  };
  const messages: PeerMessage[] = [
    {
      ...request,
      type: "exec",
      homeRegion: "capricorn",
      kind: "hold",
      priority: "critical",
      repeatable: false,
      key: undefined,
      fingerprint: "f",
      frontRegion: "farnorth",
    },
    { type: "exec_result", outcome: { type: "answered", ...answered } },
    {
      type: "exec_result",
      outcome: { type: "not-run", reason: "shift-cap", retryAfterMs: 5 },
    },
    { type: "exec_result", outcome: { type: "unknown", reason: "peer-lost" } },
    { ...request, type: "submit", client: "203.0.113.9" },
    {
      ...request,
      type: "submit",
      headers: { "x-list": ["1", "2"] },
      client: "203.0.113.9",
    },
    {
      type: "promise",
      from: 1,
      to: 2,
      resource: "groups/holdkeeper/southeast",
      fence: 1,
      requestId: 0,
    },
    { type: "promise_result", granted: true },
    {
      type: "permit",
      from: "a",
      to: "b",
      holder: "p",
      requestId: 4,
      demand: 1.5,
      service: "availdesk",
    },
    { type: "permit_result", granted: true, rate: 1e9 },
    { type: "config_push", snapshot, forward: true },
    { type: "config_pull", sequence: 0 },
    { type: "config_unchanged", sequence: 9 },
    { type: "handover", resource: "groups/s/r", fence: 2 },
  ];
  for (const message of messages) {
    const frame = encodeFrame({ ...message, id: 7 }, 1_000_000)!;
    const value = decodeFrame(frame.subarray(4));
    t.deepEqual(parseFrameValue(value), { type: "call", id: 7, message });
    for (const name of Object.keys(message)) {
      if (name === "key") continue;
      const wrong = { ...(value as object), [name]: Symbol.iterator };
      t.is(parseFrameValue(wrong), undefined, `${message.type} ${name}`);
    }
  }
});

// Entries of the version before, which know no eras, run beside this one during
// an update.
test("guards against positions in the store's history that are rejected or malformed", (t) => {
  const unchanged = { version: 3, isComplete: false, changes: [] };
  const parse = (message: object) =>
    parseFrameValue(decodeFrame(encodePayload(message)));
  const pulls = [
    { servers: 1, orders: 2 },
    { servers: 1, orders: 2, crashes: 3, document: 4 },
    {
      servers: 1,
      orders: 2,
      crashes: 3,
      eras: { servers: 7, orders: 7, crashes: 7 },
    },
  ];
  for (const position of pulls) {
    t.truthy(parse({ type: "catalog_pull", position }));
  }
  const catalog = { type: "catalog", ageMs: 1 };
  for (const era of [undefined, 7]) {
    const update = era === undefined ? unchanged : { ...unchanged, era };
    t.truthy(parse({ ...catalog, delta: { servers: update, orders: update } }));
  }
  for (const eras of [7, "7", { servers: -1 }, { orders: "7" }]) {
    const position = { servers: 1, orders: 2, eras };
    t.is(parse({ type: "catalog_pull", position }), undefined);
  }
  const servers = { ...unchanged, era: 1.5 };
  t.is(parse({ ...catalog, delta: { servers, orders: unchanged } }), undefined);
});
