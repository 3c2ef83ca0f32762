import { randomUUID } from "node:crypto";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { connect } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { ExecutionContext } from "ava";
import test from "ava";
import got from "got";
import {
  OPERATOR_TOKEN,
  readCounters,
  sendRequest,
  setFaults,
  waitUntil,
} from "@dotterelmoor/testing.demo";
import type { EntryProcess, ExampleName } from "@dotterelmoor/testing.demo";
import type { ServerCounters } from "@dotterelmoor/testing.server";
import { findOwner, findServers, startOpenSystem } from "./change_helpers.ts";

interface Scenario {
  readonly region: string;
  readonly query: { readonly service: string; readonly path: string };
  readonly booking: { readonly service: string; readonly path: string };
}

const SCENARIOS: Readonly<Record<ExampleName, Scenario>> = {
  consortium: {
    region: "southeast",
    query: { service: "availdesk", path: "/availability?suburb=Toowong" },
    booking: { service: "holdkeeper", path: "/holds" },
  },
  hnojovka: {
    region: "zapad",
    query: { service: "slot-finder", path: "/slots?week=12" },
    booking: { service: "booking-desk", path: "/confirmations" },
  },
};
const FROM = "127.1.0.5";
const TEAM_TOKEN = "example-team-token-0123456789abcdef012345";
const PEER_TOKEN = "example-peer-token-0123456789abcdef0123";
const ANSWER_BYTES = 200_000;

/** Writes a file with tokens of an administrator and of a team's operator. */
function writeTokens(t: ExecutionContext, team: string): string {
  const directory = mkdtempSync(join(tmpdir(), "dotterelmoor-"));
  t.teardown(() => rmSync(directory, { recursive: true, force: true }));
  const file = join(directory, "tokens.yaml");
  writeFileSync(
    file,
    `- { name: admin, token: ${OPERATOR_TOKEN}, teams: ["*"], role: admin }\n` +
      `- { name: team, token: ${TEAM_TOKEN}, teams: [${team}], role: operator }\n`,
  );
  return file;
}

async function startExample(t: ExecutionContext, example: ExampleName) {
  const { region, query, booking } = SCENARIOS[example];
  const system = await startOpenSystem(t, {
    example,
    regions: [region],
    entriesPerRegion: 2,
    serversPerGroup: 1,
    teams: [query.service, booking.service],
    serverFlags: ["--answer-bytes", String(ANSWER_BYTES)],
    entryEnv: {
      DOTTERELMOOR_OPERATOR_TOKENS_FILE: writeTokens(t, query.service),
    },
  });
  return system;
}

async function findNonOwner(
  entries: readonly EntryProcess[],
  service: string,
  region: string,
): Promise<EntryProcess> {
  const owner = await findOwner(entries, service, region);
  return entries.find((entry) => entry !== owner)!;
}

async function readRuns(controlUrl: string): Promise<number> {
  return (await readCounters<ServerCounters>(controlUrl)).runs;
}

for (const example of ["consortium", "hnojovka"] as const) {
  test.serial(`a request passes every hop and back, ${example}`, async (t) => {
    t.timeout(45_000);
    const { region, query, booking } = SCENARIOS[example];
    const system = await startExample(t, example);
    const entry = await findNonOwner(system.entries, query.service, region);

    // Guards against a hop that loses, truncates or mixes up responses.
    const results = await Promise.all(
      Array.from({ length: 20 }, (_, index) =>
        sendRequest(entry.callers, {
          ...query,
          path: `${query.path}&n=${index}`,
          from: FROM,
        })),
    );
    const server = findServers(system, query.service, region)[0]!;
    for (const [index, result] of results.entries()) {
      t.is(result.status, 200, result.reason);
      t.is(result.outcome, "answered");
      t.is(result.server, server.instance.id);
      const answer = JSON.parse(result.body);
      t.is(answer.requestId, result.requestId);
      t.is(answer.path, `${query.path}&n=${index}`);
      t.is(answer.pad.length, ANSWER_BYTES);
    }
    t.is(await readRuns(server.controlUrl), 20);

    const key = randomUUID();
    const nonOwner = await findNonOwner(
      system.entries,
      booking.service,
      region,
    );
    const request = { ...booking, method: "POST", from: FROM, key } as const;
    const first = await sendRequest(nonOwner.callers, {
      ...request,
      body: "a",
    });
    t.is(first.outcome, "answered");
    t.is(JSON.parse(first.body).body, "a");
    t.is(JSON.parse(first.body).key, key);
    const repeated = await sendRequest(nonOwner.callers, {
      ...request,
      body: "a",
    });
    t.deepEqual([repeated.status, repeated.outcome], [409, "unknown"]);
    const bookingServer = findServers(system, booking.service, region)[0]!;
    t.is(await readRuns(bookingServer.controlUrl), 1);
  });
}

// Guards against a response that tells the caller the wrong outcome.
test.serial("not-run, unknown and invalid requests are distinguished", async (t) => {
  t.timeout(45_000);
  const { region, query, booking } = SCENARIOS.consortium;
  const system = await startExample(t, "consortium");
  const entry = await findNonOwner(system.entries, query.service, region);
  const server = findServers(system, query.service, region)[0]!;
  const send = (path: string, service = query.service) =>
    got(`http://${entry.callers}/services/${service}${path}`, {
      throwHttpErrors: false,
      retry: { limit: 0 },
    });

  const unknownService = await send("/availability", "no-such-service");
  t.is(unknownService.statusCode, 503);
  t.is(unknownService.headers["dotterelmoor-outcome"], "not-run");
  t.truthy(unknownService.headers["dotterelmoor-reason"]);
  t.regex(String(unknownService.headers["retry-after"]), /^\d+$/);

  const withoutKey = await sendRequest(entry.callers, {
    ...booking,
    method: "POST",
    from: FROM,
  });
  t.deepEqual(
    [withoutKey.status, withoutKey.outcome, withoutKey.reason],
    [503, "not-run", "key-missing"],
  );

  const tooLarge = await sendRequest(entry.callers, {
    ...booking,
    method: "POST",
    from: FROM,
    key: randomUUID(),
    body: "x".repeat(256 * 1_024 + 1),
  });
  t.deepEqual(
    [tooLarge.status, tooLarge.outcome, tooLarge.reason],
    [503, "not-run", "too-large"],
  );
  const largest = await sendRequest(entry.callers, {
    ...booking,
    method: "POST",
    from: FROM,
    key: randomUUID(),
    body: "x".repeat(256 * 1_024),
  });
  t.is(largest.outcome, "answered");

  const longHeader = await got(
    `http://${entry.callers}/services/${query.service}${query.path}`,
    {
      headers: { "x-long": "x".repeat(17 * 1_024) },
      throwHttpErrors: false,
      retry: { limit: 0 },
    },
  );
  t.is(longHeader.statusCode, 431);
  t.is(
    (await got(`http://${entry.callers}/v1/status`, {
      throwHttpErrors: false,
    })).statusCode,
    404,
  );
  const bookingServer = findServers(system, booking.service, region)[0]!;
  t.is(await readRuns(bookingServer.controlUrl), 1);
  t.is(await readRuns(server.controlUrl), 0);

  await setFaults(server.controlUrl, { cutBody: true });
  const truncated = await send(query.path);
  t.is(truncated.statusCode, 504);
  t.is(truncated.headers["dotterelmoor-outcome"], "unknown");
  t.true(await readRuns(server.controlUrl) >= 1);

  server.process.kill();
  await server.process.exited;
  const afterExit = await send(query.path);
  t.deepEqual(
    [afterExit.statusCode, afterExit.headers["dotterelmoor-outcome"]],
    [503, "not-run"],
  );
  t.truthy(afterExit.headers["retry-after"]);
});

async function callAs(entry: EntryProcess, path: string, token?: string) {
  const response = await got(`http://${entry.operators}${path}`, {
    method: path.startsWith("/v1/drains/") ? "PUT" : "GET",
    json: path.startsWith("/v1/drains/")
      ? { changeId: randomUUID(), why: "Test" }
      : undefined,
    headers: token === undefined ? {} : { authorization: `Bearer ${token}` },
    throwHttpErrors: false,
    retry: { limit: 0 },
  });
  return response.statusCode;
}

/**
 * Encodes a flat map as a length-prefixed CBOR message. Texts must be shorter
 * than 256 bytes and numbers less than 24.
 */
function encodeHello(fields: Readonly<Record<string, string | number>>) {
  const text = (value: string) =>
    Buffer.concat([Buffer.from([0x78, value.length]), Buffer.from(value)]);
  const parts = Object.entries(fields).map(([name, value]) =>
    Buffer.concat([
      text(name),
      typeof value === "string" ? text(value) : Buffer.from([value]),
    ])
  );
  const map = Buffer.concat([Buffer.from([0xa0 + parts.length]), ...parts]);
  const length = Buffer.alloc(4);
  length.writeUInt32BE(map.length);
  return Buffer.concat([length, map]);
}

/**
 * Sends a hello to the peer listener of an entry. Returns the data received
 * until a hello arrives or the entry closes the connection.
 */
async function sendHello(
  entry: EntryProcess,
  fields: Readonly<Record<string, string | number>>,
): Promise<{ readonly text: string; readonly closed: boolean }> {
  const [host, port] = entry.peers.split(":");
  const socket = connect(Number(port), host);
  const chunks: Buffer[] = [];
  socket.on("data", (chunk: Buffer) => chunks.push(chunk));
  socket.on("error", () => {});
  let closed = false;
  socket.on("close", () => {
    closed = true;
  });
  await once(socket, "connect");
  socket.write(encodeHello({
    type: "hello",
    incarnation: 1,
    processId: "test",
    instance: "test",
    region: "southeast",
    zone: "southeast-a",
    ...fields,
  }));
  const readText = () => Buffer.concat(chunks).toString("latin1");
  await waitUntil(() => closed || readText().includes("hello"), {
    timeoutMs: 5_000,
    what: "an answer to the hello",
  });
  socket.destroy();
  return { text: readText(), closed };
}

// Guards against callers and peers that are accepted without a valid token, and
// against operators that act on another team's services.
test.serial("callers without rights reach no other listener", async (t) => {
  t.timeout(45_000);
  const { region, query, booking } = SCENARIOS.consortium;
  const system = await startExample(t, "consortium");
  const entry = system.entries[0]!;
  const ownServer = findServers(system, query.service, region)[0]!.instance.id;
  const otherTeamsServer =
    findServers(system, booking.service, region)[0]!.instance.id;

  t.is(await callAs(entry, "/v1/status"), 401);
  t.is(await callAs(entry, "/v1/status", `${TEAM_TOKEN}x`), 401);
  t.is(await callAs(entry, `/v1/drains/${otherTeamsServer}`, TEAM_TOKEN), 403);
  t.is(
    await callAs(entry, `/v1/documents/${booking.service}`, TEAM_TOKEN),
    403,
  );
  t.is(await callAs(entry, `/v1/drains/${ownServer}`, TEAM_TOKEN), 200);

  const accepted = { protocol: 1, token: PEER_TOKEN };
  t.false((await sendHello(entry, accepted)).closed);
  const newer = await sendHello(entry, { ...accepted, protocol: 2 });
  t.true(newer.closed);
  t.true(newer.text.includes("unknown-version"));
  const wrongToken = await sendHello(entry, {
    ...accepted,
    token: PEER_TOKEN.replace("0", "1"),
  });
  t.true(wrongToken.closed);
  t.true(wrongToken.text.includes("bad-token"));
  t.false(wrongToken.text.includes(PEER_TOKEN));
});
