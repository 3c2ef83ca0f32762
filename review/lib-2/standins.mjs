// Stand-ins for the platform's store, backend servers and callers, and the
// start of entries with the command of the deploy file. They follow
// PROTOCOL.md; everything listens on loopback.
import { spawn } from "node:child_process";
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  writeFileSync,
} from "node:fs";
import { createServer, request } from "node:http";
import { createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";
import { performance } from "node:perf_hooks";
import process from "node:process";

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), "../..");

/** Exit statuses of a case. */
export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

/** False if the case runs without its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

export function wait(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Writes lines to `record.txt` in the folder of the case. */
export function openRecord(caseUrl) {
  const path = join(dirname(fileURLToPath(caseUrl)), "record.txt");
  const startedAtMs = performance.now();
  writeFileSync(path, `trouble: ${HAS_TROUBLE}\n`);
  return (line) => {
    const seconds = ((performance.now() - startedAtMs) / 1_000).toFixed(3);
    appendFileSync(path, `${seconds} ${line}\n`);
  };
}

/** Finds a free port on a loopback address. */
export function findFreePort(host) {
  return new Promise((resolve, reject) => {
    const server = createTcpServer();
    server.once("error", reject);
    server.listen(0, host, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** The platform's store: rows in memory, with `rows-get`, `rows-feed` and
 * `rows-tx`. */
class Store {
  #rows = new Map();
  #history = [];
  #version = 0;
  #waiting = new Set();
  #server;

  async start(host = "127.0.0.1") {
    this.#server = createServer((request, response) => {
      this.#answer(request, response).catch(() => response.destroy());
    });
    await new Promise((resolve) => this.#server.listen(0, host, resolve));
    this.address = `${host}:${this.#server.address().port}`;
  }

  stop() {
    this.#server?.closeAllConnections();
    this.#server?.close();
  }

  put(table, key, value) {
    const bytes = Buffer.isBuffer(value)
      ? value
      : Buffer.from(JSON.stringify(value));
    this.#version += 1;
    const row = {
      table,
      part: "",
      key,
      value: bytes.toString("base64"),
      ver: this.#version,
    };
    this.#rows.set(`${table}/${key}`, row);
    this.#append(row);
  }

  drop(table, key) {
    if (!this.#rows.delete(`${table}/${key}`)) return;
    this.#version += 1;
    this.#append({ table, part: "", key, ver: this.#version, deleted: true });
  }

  /** Stores a configuration; a route or service is `{ name, ...spec }`. */
  putConfiguration(version, { routes, services, limits }) {
    const toResources = (kind, items) =>
      items.map(({ name, ...spec }) => ({
        resource_kind: kind,
        metadata: { name },
        spec,
      }));
    this.put("op", "config", {
      version: `r${version}`,
      resources: [
        ...toResources("routes", routes),
        ...toResources("services", services),
        { resource_kind: "limits", metadata: {}, spec: limits },
      ],
    });
  }

  #append(row) {
    this.#history.push(row);
    for (const wake of [...this.#waiting]) wake();
  }

  async #answer(request, response) {
    let text = "";
    for await (const chunk of request) text += chunk;
    const { pathname, searchParams } = new URL(request.url, "http://store");
    const handlers = {
      "/rows-get": () => this.#get(searchParams),
      "/rows-feed": () => this.#feed(searchParams, response),
      "/rows-tx": () => this.#transact(JSON.parse(text)),
    };
    const handle = handlers[pathname];
    const [status, body] = handle === undefined ? [404, {}] : await handle();
    if (response.destroyed) return;
    const nowMs = Math.round(performance.now());
    const answer = JSON.stringify({
      ...body,
      ver: this.#version,
      now_ms: nowMs,
    });
    response.writeHead(status, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(answer),
    });
    response.end(answer);
  }

  #get(query) {
    const table = query.get("table");
    const from = query.get("from") ?? "";
    const limit = Math.min(500, Number(query.get("limit") ?? 500));
    const found = [...this.#rows.values()]
      .filter((row) => row.table === table && row.key >= from)
      .sort((a, b) => a.key < b.key ? -1 : 1);
    const rows = found.slice(0, limit);
    return [200, { rows, has_more: found.length > limit }];
  }

  async #feed(query, response) {
    const table = query.get("table");
    const after = Number(query.get("after"));
    const endAtMs = performance.now() + Number(query.get("wait_ms") ?? 0);
    const find = () =>
      this.#history.filter((row) => row.table === table && row.ver > after);
    while (
      find().length === 0 && performance.now() < endAtMs && !response.destroyed
    ) {
      await this.#waitForChange(endAtMs - performance.now());
    }
    return [200, { rows: find() }];
  }

  #waitForChange(ms) {
    return new Promise((resolve) => {
      const end = () => {
        clearTimeout(timer);
        this.#waiting.delete(end);
        resolve();
      };
      const timer = setTimeout(end, ms);
      this.#waiting.add(end);
    });
  }

  async #transact({ expected_rev = [], writes = [], remove = [] }) {
    await wait(4);
    for (const { table, key, ver } of expected_rev) {
      const current = this.#rows.get(`${table}/${key}`)?.ver ?? 0;
      if (current !== ver) return [412, { rows: [] }];
    }
    for (const { table, key, value } of writes) {
      this.put(table, key, Buffer.from(value, "base64"));
    }
    for (const { table, key } of remove) this.drop(table, key);
    return [200, {}];
  }
}

/** Limits on callers' requests that `fleetbench wire` shows for the site. */
const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 67_108_864,
  header_timeout_ms: 3_000,
  idle_timeout_ms: 15_000,
};

/** Builds a configuration of unsafe routes, each given by its `name`, `prefix`,
 * `service` and `timeout_ms`. */
export function buildConfiguration(routes) {
  return {
    routes: routes.map((route) => ({
      host: HOST,
      kind: "unsafe",
      target_latency_ms: 600,
      priority: 1,
      max_attempts: 2,
      sticky: false,
      allowed_regions: [],
      ...route,
    })),
    services: routes.map(({ service }) => ({
      name: service,
      health_path: "/health",
      max_connections: 660,
      cold_start_s: 3,
      cold_per_s: 11,
    })),
    limits: LIMITS,
  };
}

/** Host of all routes. */
export const HOST = "desk.example";

/** Availability zones of all cases, by region. */
export const ZONES = { "se-a": "southeast", "se-b": "southeast" };

/** Starts the store with a configuration. */
export async function startStore(dispose, routes) {
  const store = new Store();
  await store.start();
  dispose(() => store.stop());
  store.putConfiguration(3, buildConfiguration(routes));
  return store;
}

/** Starts servers, in turn in the two zones; each is given by its `service` and
 * other options. */
export async function startServers(dispose, { store, net, servers }) {
  const started = [];
  for (const [index, options] of servers.entries()) {
    const server = new BackendServer({
      store,
      id: `i-${index}`,
      host: `${net}.${index + 1}`,
      zone: index % 2 === 0 ? "se-a" : "se-b",
      ...options,
    });
    await server.start();
    dispose(() => server.stop());
    started.push(server);
  }
  return started;
}

/** Lists the ids of the requests that servers began to run. */
export function listRun(servers) {
  return new Set(servers.flatMap(({ runs }) => runs.map(({ id }) => id)));
}

const REQUEST_ID = "x-dotterelmoor-request-id";

/** A backend server, which registers itself in the store and reports every
 * 1.5 s. It runs `slots` requests at once and queues a few more. It is sound,
 * unless `spoils` tells it to spoil the framing of an answer. */
class BackendServer {
  /** Requests that it began to run, in order. */
  runs = [];
  #running = 0;
  #queue = [];
  #http;
  #beat;

  constructor(options) {
    this.options = { slots: 3, queue: 9, runMs: 200, ...options };
  }

  async start() {
    const { store, id, host, service, zone, slots } = this.options;
    this.#http = createServer((request, response) => {
      this.#receive(request, response);
    });
    // Accepts as many header lines as a request has.
    this.#http.maxHeadersCount = 0;
    this.#http.keepAliveTimeout = 10_000;
    await new Promise((resolve) => this.#http.listen(0, host, resolve));
    const born = Date.now();
    let sequence = 0;
    const report = () => {
      sequence += 1;
      store.put("servers", id, {
        service,
        address: `${host}:${this.#http.address().port}`,
        zone,
        version: "v1",
        slots,
        state: "ready",
        cold_remaining_ms: 0,
        sequence,
        born,
      });
    };
    report();
    this.#beat = setInterval(report, 1_500);
  }

  stop() {
    clearInterval(this.#beat);
    this.#http?.closeAllConnections();
    this.#http?.close();
  }

  #receive(request, response) {
    const parts = [];
    request.on("data", (chunk) => parts.push(chunk));
    request.on("error", () => {});
    request.on("end", () => this.#admit(request, response, parts));
  }

  #admit(request, response, parts) {
    const { id, slots, queue } = this.options;
    const requestId = request.headers[REQUEST_ID] ?? "";
    const target = request.headers["x-dotterelmoor-target-instance"];
    if (target !== undefined && target !== id) {
      response.writeHead(421, { [REQUEST_ID]: requestId });
      response.end();
      return;
    }
    const run = () => this.#run(request, response, { requestId, parts });
    if (this.#running < slots) return run();
    if (this.#queue.length < queue) {
      this.#queue.push(run);
      return;
    }
    response.writeHead(503, {
      [REQUEST_ID]: requestId,
      "x-dotterelmoor-not-executed": "1",
    });
    response.end();
  }

  #run(request, response, { requestId, parts }) {
    this.#running += 1;
    const body = Buffer.concat(parts);
    this.runs.push({
      id: requestId,
      method: request.method,
      url: request.url,
      bytes: body.length,
      text: body.subarray(0, 64).toString("latin1"),
    });
    setTimeout(() => {
      this.#running -= 1;
      const answer = `done ${requestId}`;
      if (!response.destroyed) {
        const isSpoiled = this.options.spoils?.(this.runs.length) ?? false;
        const framing = isSpoiled
          ? ["transfer-encoding", "chunked", "transfer-encoding", "chunked"]
          : ["content-length", answer.length];
        response.writeHead(200, [
          REQUEST_ID,
          requestId,
          "x-dotterelmoor-server-stamp",
          `${this.options.id}.${requestId}`,
          ...framing,
        ]);
        response.end(answer);
      }
      this.#queue.shift()?.();
    }, this.options.runMs);
  }
}

/** Settings of a small deployment; see DEPLOY.md. */
export async function writeSettings({ ip, zone, store }) {
  const ports = [];
  for (let count = 0; count < 5; count++) ports.push(await findFreePort(ip));
  const [front, ready, control, directory, internal] = ports;
  const lines = {
    node_name: `front-${zone}-1`,
    role: "edge",
    machine_class: "front",
    serves: "front,control,directory",
    ip,
    zone,
    region: ZONES[zone],
    "listen.front": `${ip}:${front}`,
    "listen.ready": `${ip}:${ready}`,
    "listen.control": `${ip}:${control}`,
    "listen.directory": `${ip}:${directory}`,
    internal_ports: `${internal},${internal + 15}`,
    seed_nodes: `${ip}:${control}`,
    bootstrap: "true",
    "limits.cpu_share": "0.378",
    "limits.cpu_cores": "1",
    "limits.memory_mb": "272",
    "limits.max_fds": "2870",
    heartbeat_ms: "1500",
    bounds: "seed_lag_s=3,addr_reuse_s=2,stable_window_ms=4000,ack_ms=4000," +
      "catch_up_s=4,drain_ms=2500,grace_s=6,loss_slack_ms=200," +
      "config_apply_ms=2500,retry_budget_ratio=0.2,budget_window_s=10," +
      "budget_extra=112,cold_over=1.5,cold_slack=5,evacuate_ms=5000," +
      "recovery_s=15,ttl_max_s=5,max_shift=0.15",
    "platform.address": store.address,
    "platform.form": "table",
  };
  for (const [key, region] of Object.entries(ZONES)) {
    lines[`zones.${key}`] = region;
  }
  const path = join(mkdtempSync(join(tmpdir(), "entry-")), "settings.conf");
  const text = Object.entries(lines).map(([key, value]) => `${key}=${value}\n`);
  writeFileSync(path, text.join(""));
  return { path, ip, front, ready };
}

/** Command of the entry in the deploy file. */
function readCommand() {
  const deploy = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const command = /\[roles\.edge\]\s+run = "([^"]+)"/.exec(deploy)?.[1];
  if (command === undefined) throw new Error("No command in the deploy file");
  return command.split(" ");
}

/** Starts an entry as its own process. */
export function startEntry({ path }) {
  const [command, ...words] = readCommand();
  const { PATH, HOME, LANG = "C" } = process.env;
  const entry = spawn(command, words, {
    cwd: ROOT,
    env: { PATH, HOME, LANG, DOTTERELMOOR_CONFIG: path },
    stdio: "ignore",
  });
  const ended = new Promise((resolve) => {
    entry.once("exit", (code, signal) => resolve({ code, signal }));
  });
  return { entry, ended };
}

/** Waits until an entry says that it is ready; false if it does not in time. */
export async function waitUntilReady({ ip, ready }, maxMs = 10_000) {
  const endAtMs = performance.now() + maxMs;
  while (performance.now() < endAtMs) {
    const { status } = await call({ ip, port: ready, path: "/ready" });
    if (status === 200) return true;
    await wait(50);
  }
  return false;
}

/** Sends one request; resolves with the status, or the error without one. */
export function call({ ip, port, path, method = "GET", headers, agent, body }) {
  return new Promise((resolve) => {
    const sent = request(
      { host: ip, port, path, method, headers, agent, timeout: 12_000 },
      (response) => {
        const parts = [];
        response.on("data", (part) => parts.push(part));
        response.on("error", (error) => resolve({ error: error.code }));
        response.on("end", () => {
          const text = Buffer.concat(parts).toString("latin1");
          resolve({ status: response.statusCode, text });
        });
      },
    );
    sent.on("timeout", () => sent.destroy(new Error("timeout")));
    sent.on("error", (error) => resolve({ error: error.code ?? "closed" }));
    if (typeof body === "function") void body(sent);
    else sent.end(body);
  });
}

/** Runs a case: ends all that it started, and exits with its status. */
export async function runCase(run) {
  const disposers = [];
  let status = NOT_RUN;
  try {
    status = await run((dispose) => disposers.push(dispose));
  } catch (error) {
    process.stderr.write(`The case could not run: ${error.stack}\n`);
  }
  for (const dispose of disposers.reverse()) await dispose();
  process.exit(status);
}
