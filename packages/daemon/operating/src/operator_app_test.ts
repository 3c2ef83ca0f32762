import test from "ava";
import type { ExecutionContext } from "ava";
import { readFileSync } from "node:fs";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { buildSnapshot } from "@dotterelmoor/config.changing";
import { MemoryTable } from "../../../config/changing/src/memory_table_test.ts";
import type { Fault } from "../../../config/changing/src/memory_table_test.ts";
import { createConfigurationActions, createOperatorApp } from "./mod.ts";

const EXAMPLES = new URL("../../../../examples/consortium/", import.meta.url);
const TEXTS = Object.fromEntries(
  ["platform", "availdesk", "holdkeeper"].map((name) => [
    name,
    readFileSync(new URL(`${name}.yaml`, EXAMPLES), "utf8"),
  ]),
);
const TOKENS = [
  { name: "root", token: "root-token", teams: ["*"], role: "admin" },
  { name: "ada", token: "ada-token", teams: ["availdesk"], role: "operator" },
  { name: "hal", token: "hal-token", teams: ["holdkeeper"], role: "operator" },
  { name: "vic", token: "vic-token", teams: ["availdesk"], role: "viewer" },
] as const;

interface Answer {
  readonly status: number;
  // deno-lint-ignore no-explicit-any
  readonly body: any;
}

async function startApp(t: ExecutionContext) {
  const faults: Fault[] = [];
  const table = new MemoryTable({
    takeFault: () => faults.shift() ?? "none",
    wait: () => Promise.resolve(),
  });
  const lifted: string[] = [];
  const noted: number[] = [];
  const logged: unknown[] = [];
  const log = (...line: unknown[]) => void logged.push(line);
  const app = createOperatorApp({
    tokens: TOKENS,
    limits: { maxBodyBytes: 20_000, maxHistory: 50 },
    log: { info: log, warn: log, error: log },
    wallClockMs: () => 1_000,
    actions: {
      ...createConfigurationActions({ table }),
      reportStatus: () => ({ ok: true }),
      reportQuarantine: () => [
        { fingerprint: "f1", service: "availdesk" },
        { fingerprint: "f2", service: "holdkeeper" },
      ],
      reportLeases: () => [
        { service: "availdesk", region: "southeast" },
        { service: "holdkeeper", region: "southeast" },
      ],
      findInstanceService: (id) =>
        id.startsWith("a-") ? "availdesk" : undefined,
      getSnapshot: () =>
        buildSnapshot({
          current: table.rows.get("config/current")!,
          documents: table.listNow("documents/"),
          drains: [],
        }).unwrap(),
      notifyChange: (sequence) => void noted.push(sequence),
      notifyLift: (fingerprint) => void lifted.push(fingerprint),
    },
  });
  const server = createServer(app.callback());
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  const send = async (
    who: string,
    request: string,
    body?: unknown,
  ): Promise<Answer> => {
    const [method, path] = request.split(" ");
    const response = await fetch(`http://127.0.0.1:${port}${path}`, {
      method: method!,
      headers: { authorization: `Bearer ${who}-token` },
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
    return { status: response.status, body: await response.json() };
  };
  let changes = 0;
  const put = (
    who: string,
    team: string,
    fields: Record<string, unknown> = {},
  ) =>
    send(who, `PUT /v1/documents/${team}`, {
      text: TEXTS[team],
      editedFrom: 0,
      changeId: `change-${++changes}`,
      why: "test",
      ...fields,
    });
  return { table, faults, lifted, noted, logged, send, put, port };
}

async function startWithDocuments(t: ExecutionContext) {
  const app = await startApp(t);
  for (const team of ["platform", "availdesk", "holdkeeper"]) {
    const answer = await app.put("root", team);
    t.is(answer.status, 200, JSON.stringify(answer.body));
  }
  return app;
}

const CHANGE = "why=test&changeId=change-rights";
const RIGHTS: Record<string, string> = {
  "none GET /v1/status": "401",
  "vic GET /v1/status": "200",
  "vic GET /v1/documents/availdesk": "200",
  "vic GET /v1/documents/platform": "200",
  "vic GET /v1/documents/holdkeeper": "403",
  "vic GET /v1/documents/nobody": "403",
  "root GET /v1/documents/nobody": "404",
  "root GET /v1/documents/..%2Fconfig": "400",
  "root GET /v1/documents/%zz": "400",
  "vic GET /v1/history?team=holdkeeper": "403",
  "vic GET /v1/history?limit=51": "400",
  "root PATCH /v1/status": "405",
  "root GET /v1/nothing": "404",
  "vic PUT /v1/drains/a-1": "403",
  "hal PUT /v1/drains/a-1": "403",
  "ada PUT /v1/drains/unlisted": "403",
  "ada PUT /v1/drains/a-1": "200",
  "ada GET /v1/drains/a-1": "200",
  "hal GET /v1/drains/a-1": "403",
  [`ada DELETE /v1/drains/a-2?${CHANGE}`]: "404",
  [`hal DELETE /v1/quarantine/f1?${CHANGE}`]: "403",
  [`vic DELETE /v1/quarantine/f1?${CHANGE}`]: "403",
  [`ada DELETE /v1/quarantine/f1?${CHANGE}`]: "200",
  [`ada DELETE /v1/leases/availdesk/southeast?${CHANGE}`]: "403",
  "root DELETE /v1/leases/availdesk/southeast": "400",
  [`root DELETE /v1/leases/availdesk/southeast?${CHANGE}2`]: "404",
  "ada PUT /v1/documents/platform": "403",
  "hal PUT /v1/documents/availdesk": "403",
  "vic PUT /v1/documents/availdesk": "403",
  "vic POST /v1/documents/availdesk/check": "200",
  "vic POST /v1/documents/holdkeeper/check": "403",
};

test("guards against a token that gives access to another team or role", async (t) => {
  const { table, lifted, send } = await startWithDocuments(t);
  table.commit({
    checks: [],
    writes: [{ key: "quarantine/f1", value: { service: "availdesk" } }],
  });
  for (const [request, status] of Object.entries(RIGHTS)) {
    const [who, ...rest] = request.split(" ");
    const body = /^(PUT|POST)/.test(rest[0]!)
      ? {
        text: TEXTS.availdesk,
        editedFrom: 0,
        changeId: "change-rights-1",
        why: "test",
      }
      : undefined;
    const answer = await send(who!, rest.join(" "), body);
    t.is(
      `${answer.status}`,
      status,
      `${request}: ${JSON.stringify(answer.body)}`,
    );
    if (answer.status !== 200) t.truthy(answer.body.hint, request);
  }
  t.deepEqual(lifted, ["f1"]);
  // A retry after a lost answer finds no row, and must not be rejected.
  const repeat = await send("ada", `DELETE /v1/quarantine/f1?${CHANGE}`);
  t.true(repeat.body.alreadyApplied);
  const documents = await send("vic", "GET /v1/documents");
  t.deepEqual(
    documents.body.documents.map((row: { team: string }) => row.team),
    ["availdesk", "platform"],
  );
  t.is((await send("hal", "GET /v1/quarantine")).body.quarantine.length, 1);
  t.is((await send("hal", "GET /v1/leases")).body.leases.length, 1);
  t.is((await send("hal", "GET /v1/drains")).body.drains.length, 0);
  const history = await send("ada", "GET /v1/history?limit=50");
  t.deepEqual(
    history.body.changes.map((row: { kind: string }) => row.kind),
    ["quarantine-lift", "drain", "document"],
  );
  t.is((await send("root", "GET /v1/history?limit=1")).body.complete, false);
});

test("guards against an answer that differs from what was committed", async (t) => {
  const { table, faults, noted, put, send } = await startWithDocuments(t);
  const edited = TEXTS.availdesk!.replace("cap: 80", "cap: 90");
  const edit = { text: edited, editedFrom: 2, changeId: "change-edit" };
  // The table does not answer, and the transaction is still in progress.
  faults.push("late", "late");
  const unknown = await put("ada", "availdesk", edit);
  t.like(unknown, { status: 504, body: { code: "outcome-unknown" } });
  t.true(table.commitLate());
  const repeat = await put("ada", "availdesk", edit);
  t.like(repeat, { status: 200, body: { sequence: 4, alreadyApplied: true } });
  t.true(table.commitLate());
  t.is(table.listNow("audit/").length, 4);

  const lost = await put("root", "availdesk", { editedFrom: 2 });
  t.like(lost, { status: 409, body: { code: "conflict" } });
  t.like(lost.body.winner, {
    version: 4,
    who: "ada",
    differences: ["services[availdesk].shift.cap: 90 -> 80"],
  });
  const reused = await put("ada", "availdesk", {
    ...edit,
    text: `${edited}# x`,
  });
  t.like(reused, { status: 409, body: { code: "change-id-reused" } });
  // A committed transaction whose answer was lost is found by its change id.
  faults.push("answer-lost");
  t.like(await put("ada", "availdesk", { editedFrom: 4 }), { status: 200 });
  t.like((await send("vic", "GET /v1/documents/availdesk")).body, {
    version: 5,
    text: TEXTS.availdesk,
  });
  t.deepEqual(noted, [1, 2, 3, 4, 5]);
  // A retry is not checked against documents that were accepted later.
  const [low, high] = ["linkShare: 0.1", "linkShare: 0.8"];
  const lower = TEXTS.availdesk!.replace("linkShare: 0.25", low);
  const higher = TEXTS.holdkeeper!.replace("linkShare: 0.25", high);
  await put("ada", "availdesk", { text: lower, editedFrom: 5 });
  await put("hal", "holdkeeper", { text: higher, editedFrom: 3 });
  t.like(await put("ada", "availdesk", edit), {
    status: 200,
    body: { sequence: 4, alreadyApplied: true },
  });
  faults.push("down", "down");
  t.is(
    (await put("ada", "availdesk", { text: lower, editedFrom: 6 })).status,
    504,
  );
});

test("guards against concurrent submissions that oversubscribe a link", async (t) => {
  const { put, table } = await startWithDocuments(t);
  const answers = await Promise.all([["availdesk", 2], ["holdkeeper", 3]].map(
    ([team, editedFrom]) =>
      put("root", String(team), {
        editedFrom,
        text: TEXTS[team!]!.replace("linkShare: 0.25", "linkShare: 0.6"),
      }),
  ));
  t.deepEqual(answers.map(({ status }) => status).sort(), [200, 422]);
  const refused = answers.find(({ status }) => status === 422);
  t.is(refused?.body.errors[0].code, "link-oversubscribed");
  t.is(table.listNow("audit/").length, 4);
});

test("guards against documents that contradict those in force", async (t) => {
  const { put, send, port, logged } = await startWithDocuments(t);
  const platform = TEXTS.platform!.replace(
    "maxDeadlineMs: 6000",
    "maxDeadlineMs: 2000",
  );
  const narrower = await put("root", "platform", {
    text: platform,
    editedFrom: 1,
  });
  t.is(narrower.status, 422);
  t.deepEqual(
    narrower.body.errors.map((error: { file: string }) => error.file),
    ["holdkeeper", "holdkeeper"],
  );
  const foreign = await put("ada", "availdesk", {
    text: TEXTS.holdkeeper,
    editedFrom: 2,
  });
  t.is(foreign.status, 422);
  const checked = await send("ada", "POST /v1/documents/availdesk/check", {
    text: TEXTS.availdesk!.replace("[southeast,", "[atlantis,"),
  });
  t.is(checked.body.errors[0].line, 5);
  t.is(
    (await put("ada", "availdesk", { text: "#".repeat(150_000) })).status,
    413,
  );
  t.is((await put("ada", "availdesk", { why: " " })).status, 400);
  t.is((await put("ada", "availdesk", { changeId: "../x" })).status, 400);
  const url = `http://127.0.0.1:${port}/v1/documents/platform`;
  const headers = { authorization: "Bearer vic-token", accept: "text/yaml" };
  const response = await fetch(url, { headers });
  t.is(response.headers.get("dotterelmoor-version"), "1");
  t.is(await response.text(), TEXTS.platform!);
  t.false(JSON.stringify(logged).includes("-token"));
});
