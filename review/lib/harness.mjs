/**
 * Parts that the scripts of the review share: entries as separate processes
 * with the command of the deploy file, backend servers, a configuration, and
 * the record of a run.
 *
 * @module
 */

import { spawn } from "node:child_process";
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { createServer, request as openRequest } from "node:http";
import { createServer as createListener } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";

/** Root of the repository. */
export const ROOT = join(dirname(fileURLToPath(import.meta.url)), "../..");

/** Bounds of a small installation, as DEPLOY.md prints them. */
export const BOUNDS =
  "seed_lag_s=3,addr_reuse_s=2,stable_window_ms=4000,ack_ms=4000," +
  "catch_up_s=4,drain_ms=2500,grace_s=6,loss_slack_ms=200," +
  "config_apply_ms=2500,revert_slack_ms=250,max_stretch_ms=6000," +
  "retry_budget_ratio=0.2,budget_window_s=10,budget_extra=112," +
  "cold_over=1.5,cold_slack=5,evacuate_ms=5000,recovery_s=15,ttl_max_s=5," +
  "max_shift=0.15";

/** Memory limit of an instance, as DEPLOY.md prints it. */
export const MEMORY_MB = 272;

export const HOST = "desk.example";

const ID = "x-dotterelmoor-request-id";

export function wait(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Writes the record of a run, one JSON line for each event. */
export class Record {
  #path;
  #startedAtMs = performance.now();

  constructor(path) {
    this.#path = path;
    writeFileSync(path, "");
  }

  note(event, fields = {}) {
    const atMs = Math.round(performance.now() - this.#startedAtMs);
    appendFileSync(
      this.#path,
      `${JSON.stringify({ atMs, event, ...fields })}\n`,
    );
  }
}

/** Finds free ports of an address, all at once. */
export async function findPorts(host, count) {
  const listeners = [];
  for (let index = 0; index < count; index++) {
    const listener = createListener();
    await new Promise((resolve, reject) => {
      listener.once("error", reject);
      listener.listen(0, host, resolve);
    });
    listeners.push(listener);
  }
  const ports = listeners.map((listener) => listener.address().port);
  await Promise.all(
    listeners.map((listener) =>
      new Promise((resolve) => listener.close(resolve))
    ),
  );
  return ports;
}

/** Builds a configuration with a safe and an unsafe route to the service
 * `desk`, and an unsafe one to the service `ledger`. */
export function buildConfiguration(options = {}) {
  const { version = 1, timeoutMs = 8_000, unsafeService = "desk" } = options;
  const { homes = [] } = options;
  const route = (name, kind, service = "desk", regions = []) => ({
    resource_kind: "routes",
    metadata: { name: `r-${name}` },
    spec: {
      host: HOST,
      prefix: `/${name}/`,
      kind,
      timeout_ms: timeoutMs,
      target_latency_ms: 1_000,
      priority: 1,
      service,
      max_attempts: 2,
      sticky: true,
      allowed_regions: regions,
    },
  });
  const service = (name) => ({
    resource_kind: "services",
    metadata: { name },
    spec: {
      health_path: "/health",
      max_connections: 660,
      protocol: "h1",
      tls: false,
      cold_start_s: 3,
      cold_per_s: 11,
    },
  });
  return {
    version: `r${version}`,
    resources: [
      route("safe", "safe"),
      route("unsafe", "unsafe", unsafeService),
      route("ledger", "unsafe", "ledger"),
      route("home", "unsafe", "desk", homes),
      service("desk"),
      service("ledger"),
      {
        resource_kind: "limits",
        metadata: {},
        spec: {
          max_header_bytes: 16_384,
          max_body_bytes: 67_108_864,
          header_timeout_ms: 3_000,
          idle_timeout_ms: 15_000,
        },
      },
    ],
  };
}

/**
 * Starts a backend server that reads each request whole, runs it for `workMs`
 * and answers it with `answerBytes` bytes. It reports itself in the store every
 * 1.5 s.
 */
export async function startServer(store, record, options) {
  const { id, service = "desk", zone, slots = 3, workMs = 300 } = options;
  const { answerBytes = 400, host = "127.0.0.1" } = options;
  const running = { count: 0 };
  const ran = new Map();
  /** Arrivals of the requests that were run. */
  const runs = [];
  const queue = [];
  const server = createServer(async (request, response) => {
    const arrivedAtMs = performance.now();
    const requestId = request.headers[ID];
    const headers = {
      [ID]: requestId,
      "x-dotterelmoor-instance-id": id,
    };
    let bytes = 0;
    request.on("data", (chunk) => bytes += chunk.length);
    const isRead = await new Promise((resolve) => {
      request.once("end", () => resolve(true));
      request.once("close", () => resolve(false));
    });
    if (!isRead) return;
    if (request.url === "/health") return void response.end();
    const target = request.headers["x-dotterelmoor-target-instance"];
    if (target !== undefined && target !== id) {
      const notRun = { ...headers, "x-dotterelmoor-not-executed": "1" };
      return void response.writeHead(421, notRun).end();
    }
    if (running.count >= slots) {
      if (queue.length >= 9) {
        const notRun = { ...headers, "x-dotterelmoor-not-executed": "1" };
        return void response.writeHead(503, notRun).end();
      }
      await new Promise((resolve) => queue.push(resolve));
    }
    running.count += 1;
    ran.set(requestId, (ran.get(requestId) ?? 0) + 1);
    runs.push({ request: requestId, atMs: arrivedAtMs });
    const { url: path } = request;
    record.note("run", {
      server: id,
      service,
      request: requestId,
      path,
      bytes,
    });
    await wait(workMs);
    running.count -= 1;
    queue.shift()?.();
    const body = `${requestId}\n`.padEnd(answerBytes, ".");
    headers["x-dotterelmoor-server-stamp"] = `${id}.${requestId}`;
    headers["x-dotterelmoor-server-load"] =
      `${running.count},${queue.length},${slots}`;
    response.writeHead(200, headers).end(body);
  });
  server.keepAliveTimeout = 10_000;
  await new Promise((resolve) => server.listen(0, host, resolve));
  const address = `${host}:${server.address().port}`;
  const born = Date.now();
  const row = {
    service,
    address,
    zone,
    version: "v1",
    slots,
    state: "ready",
    cold_remaining_ms: 0,
    sequence: 0,
    born,
  };
  const report = () => {
    row.sequence += 1;
    store.put("servers", id, row);
  };
  report();
  const timer = setInterval(report, 1_500);
  /** Reports that the server is leaving; returns at the acknowledgement. */
  const drain = () => {
    row.state = "draining";
    report();
    record.note("draining", { server: id });
  };
  /** Removes the server's row, as some servers do instead of draining; returns
   * at the acknowledgement. */
  const withdraw = () => {
    clearInterval(timer);
    store.drop("servers", id);
    record.note("withdrawn", { server: id });
  };
  return {
    drain,
    withdraw,
    id,
    address,
    ran,
    row,
    runs,
    close: () => {
      clearInterval(timer);
      server.closeAllConnections();
      server.close();
    },
  };
}

/** Reads the command of the edge from the deploy file. */
function readCommand() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const [, command] = /^run = "(.*)"$/m.exec(text);
  return command.split(" ");
}

/** Starts an entry as its own process, in the repository's root. */
export async function startEntry(record, options) {
  const { name, ip, zone, zones, store, directory, seeds = [] } = options;
  const { ports } = options;
  const [front, ready, lookup, control, peer, metrics] = ports;
  const settings = [
    `node_name=${name}`,
    "role=edge",
    "machine_class=front",
    "serves=front,control,directory",
    `ip=${ip}`,
    `zone=${zone}`,
    `region=${zones[zone]}`,
    ...Object.entries(zones).map(([key, region]) => `zones.${key}=${region}`),
    `listen.front=${ip}:${front}`,
    `listen.ready=${ip}:${ready}`,
    `listen.control=${ip}:${control}`,
    `listen.directory=${ip}:${lookup}`,
    `internal_ports=${peer},${peer}`,
    `seed_nodes=${seeds.map((seed) => `${seed}:${control}`).join(",")}`,
    "bootstrap=true",
    "limits.cpu_share=0.378",
    "limits.cpu_cores=1",
    `limits.memory_mb=${MEMORY_MB}`,
    "limits.max_fds=2870",
    "discovery=platform",
    "entry=directory",
    "heartbeat_ms=1500",
    `bounds=${BOUNDS}`,
    `platform.address=${store.address}`,
    "platform.form=table",
  ].join("\n");
  const path = join(directory, `${name}.conf`);
  writeFileSync(path, `${settings}\n`);
  const [program, ...words] = readCommand();
  const { onStart } = options;
  const at = words.indexOf("--metrics-port");
  words[at + 1] = String(metrics);
  const { PATH, HOME, LANG } = process.env;
  const child = spawn(program, words, {
    cwd: ROOT,
    env: { PATH, HOME, LANG, DOTTERELMOOR_CONFIG: path },
    stdio: ["ignore", "pipe", "pipe"],
  });
  const entry = { name, ip, front, ready, lookup, child, isRunning: true };
  onStart?.(entry);
  let output = "";
  const keep = (chunk) => output = (output + chunk).slice(-20_000);
  child.stdout.on("data", keep);
  child.stderr.on("data", keep);
  entry.getOutput = () => output;
  entry.ended = new Promise((resolve) =>
    child.once("exit", (code, signal) => {
      entry.isRunning = false;
      record.note("entry ended", { entry: name, code, signal });
      resolve();
    })
  );
  const endAtMs = performance.now() + 10_000;
  while (await askReady(entry) !== 200) {
    if (!entry.isRunning || performance.now() > endAtMs) {
      throw new Error(`The entry does not start: ${output}`);
    }
    await wait(50);
  }
  record.note("entry ready", { entry: name, pid: child.pid });
  return entry;
}

let lastId = 0;

/** Sends one request to an entry; resolves to its id and the status, or status
 * 0 if the connection ended without a whole answer. */
export function send(record, entry, options) {
  const { path, method = "GET", agent = false, waitMs = 4_000, body } = options;
  lastId += 1;
  const id = `q${lastId.toString().padStart(6, "0")}`;
  record.note("sent", { request: id, method, path, bytes: body?.length ?? 0 });
  return new Promise((resolve) => {
    const finish = (status, error) => {
      record.note("answered", { request: id, status, error });
      resolve({ id, status });
    };
    const call = openRequest({
      host: entry.ip,
      port: entry.front,
      path,
      method,
      agent,
      headers: {
        host: HOST,
        [ID]: id,
        "x-dotterelmoor-deadline-ms": String(waitMs),
        cookie: `X-Dotterelmoor-Affinity-Key=${lastId % 24}`,
        ...(body === undefined ? {} : { "content-length": body.length }),
      },
    }, (response) => {
      response.resume();
      response.on("end", () => finish(response.statusCode));
      response.on("error", (error) => finish(0, error.code));
    });
    call.on("error", (error) => finish(0, error.code));
    call.end(body);
  });
}

/** Status of an entry's readiness check; 0 without an answer. */
export function askReady({ ip, ready }) {
  return new Promise((resolve) => {
    const call = openRequest(
      { host: ip, port: ready, path: "/ready", agent: false, timeout: 500 },
      (response) => {
        response.resume();
        response.on("end", () => resolve(response.statusCode));
      },
    );
    call.on("timeout", () => call.destroy());
    call.on("error", () => resolve(0));
    call.end();
  });
}

/** Longest time in milliseconds of a case. */
const LONGEST_MS = 100_000;

/** Runs a case: exits with 1 if `run` returns true (the rule was broken), 0 if
 * false, 2 if it could not run; ends all processes before. */
export async function runCase(run) {
  const directory = mkdtempSync(join(tmpdir(), "review-"));
  const started = [];
  const hasTrouble = process.env.TROUBLE !== "0";
  const end = async (code) => {
    for (const { child, isRunning } of started) {
      if (isRunning) child.kill("SIGKILL");
    }
    await wait(200);
    rmSync(directory, { recursive: true, force: true });
    process.exit(code);
  };
  setTimeout(() => end(2), LONGEST_MS);
  for (const signal of ["SIGINT", "SIGTERM"]) process.on(signal, () => end(2));
  try {
    await end(await run({ directory, started, hasTrouble }) ? 1 : 0);
  } catch (error) {
    process.stderr.write(`The case could not run: ${error.stack}\n`);
    await end(2);
  }
}
