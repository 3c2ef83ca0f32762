import test from "ava";
import type { ExecutionContext } from "ava";
import { readFileSync } from "node:fs";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { buildSnapshot } from "@dotterelmoor/config.changing";
import {
  createConfigurationActions,
  createOperatorApp,
} from "@dotterelmoor/daemon.operating";
import { MemoryTable } from "../../../config/changing/src/memory_table_test.ts";
import { COMMANDS, EXIT_CODES, runCtl } from "./mod.ts";

const EXAMPLES = new URL("../../../../examples/consortium/", import.meta.url);

function readExample(name: string): string {
  return readFileSync(new URL(name, EXAMPLES), "utf8");
}

const FILES: Record<string, string> = {
  token: "root-token\n",
  empty: "",
  "platform.yaml": readExample("platform.yaml"),
  "availdesk.yaml": readExample("availdesk.yaml"),
  "edited.yaml": readExample("availdesk.yaml").replace("cap: 80", "cap: 90"),
  "broken.yaml": readExample("availdesk.yaml").replace("cap: 80", "cap: many"),
  "elsewhere.yaml": readExample("availdesk.yaml")
    .replaceAll("capricorn", "atlantis"),
};

let changes = 0;

async function run(argv: string, env: Record<string, string> = {}) {
  const [out, errors, waits]: [string[], string[], number[]] = [[], [], []];
  const code = await runCtl(argv === "" ? [] : argv.split(" "), {
    env,
    readFile: (path) => {
      const text = FILES[path];
      if (text === undefined) {
        throw Object.assign(new Error(), { code: "ENOENT" });
      }
      return text;
    },
    writeOut: (text) => void out.push(text),
    writeError: (text) => void errors.push(text),
    wait: (durationMs) => Promise.resolve(void waits.push(durationMs)),
    makeChangeId: () => `change-${++changes}`,
  });
  return { code, out: out.join("\n"), errors: errors.join("\n"), waits };
}

const CTL_ENV = {
  DOTTERELMOOR_CTL_URL: "http://127.0.0.1:1",
  DOTTERELMOOR_CTL_TOKEN_FILE: "token",
};

/** Invalid arguments by subcommand, each with text required in the error. */
const INVALID_USES: Record<string, Record<string, string>> = {
  check: {
    "check": "Not enough non-option arguments",
    "check none.yaml": "Cannot read file none.yaml (ENOENT)",
    "check availdesk.yaml --platform": "platform",
    "check availdesk.yaml --colour": "colour",
  },
  submit: {
    "submit availdesk.yaml --why x": "edited-from",
    "submit availdesk.yaml --edited-from 1": "why",
    "submit availdesk.yaml --edited-from one --why x":
      "expected a whole number",
    "submit availdesk.yaml --edited-from 1 --why x --change-id a/b":
      "change-id",
  },
  show: { "show a b": "Unknown argument: b" },
  history: {
    "history --limit 0": "from 1 to 200",
    "history --team": "team",
  },
  status: {
    "status now": "now",
    "status --operator-url ftp://x": "expected a URL",
    "status --token-file empty": "holds no token",
    "status --token-file none": "Cannot read file none",
  },
  drain: { "drain --why x": "Not enough", "drain server-1": "why" },
  undrain: { "undrain --why x": "Not enough", "undrain server-1": "why" },
  quarantine: {
    "quarantine": "Not enough",
    "quarantine drop": "expected list, or lift",
    "quarantine lift": "fingerprint",
    "quarantine lift f1": "why",
  },
  lease: {
    "lease list extra": "expected list, or release",
    "lease release holdkeeper": "region",
    "lease release holdkeeper southeast": "why",
  },
};

// A subcommand that ignores an argument does something else than was asked.
for (const command of COMMANDS) {
  const name = command.names[0]!.split(" ")[0]!;
  test(`guards against invalid arguments that are accepted: ${name}`, async (t) => {
    const uses = Object.entries(INVALID_USES[name] ?? {});
    t.true(uses.length > 0, "No invalid arguments are listed");
    for (const [argv, expected] of uses) {
      const { code, errors } = await run(argv, CTL_ENV);
      t.is(code, EXIT_CODES.usageError, argv);
      t.true(errors.includes(expected), `${argv}: ${errors}`);
      t.true(errors.includes("hint: "), argv);
    }
    const help = await run(`${name} --help`);
    t.is(help.code, EXIT_CODES.ok);
    t.true(help.out.includes("Examples:"), help.out);
  });
}

// Missing settings and an entry that is not reached need distinct exit codes.
test("guards against a missing command or setting that is not a usage error", async (t) => {
  t.is((await run("")).code, EXIT_CODES.usageError);
  t.is((await run("bogus")).code, EXIT_CODES.usageError);
  const unset = await run("status");
  t.is(unset.code, EXIT_CODES.usageError);
  t.true(unset.errors.includes("DOTTERELMOOR_CTL_URL"));
  t.is((await run("status", CTL_ENV)).code, EXIT_CODES.unreachable);
  // A change that was never sent must not be reported as possibly applied.
  const unsent = await run("drain server-1 --why x", CTL_ENV);
  t.is(unsent.code, EXIT_CODES.unreachable);
  t.false(unsent.errors.includes("--change-id"), unsent.errors);
});

async function startEntry(t: ExecutionContext) {
  const table = new MemoryTable({
    takeFault: () => "none",
    wait: () => Promise.resolve(),
  });
  const ignore = () => {};
  const callback = createOperatorApp({
    tokens: [{
      name: "root",
      token: "root-token",
      teams: ["*"],
      role: "admin",
    }],
    log: { info: ignore, warn: ignore, error: ignore },
    actions: {
      ...createConfigurationActions({ table }),
      reportStatus: () => ({ store: "ok" }),
      reportQuarantine: () => [],
      reportLeases: () => [{ service: "availdesk", region: "southeast" }],
      findInstanceService: () => undefined,
      getSnapshot: () =>
        buildSnapshot({
          current: table.rows.get("config/current")!,
          documents: [],
          drains: [],
        }).unwrap(),
    },
  }).callback();
  const lostResponses = { left: 0 };
  const server = createServer((request, response) => {
    if (lostResponses.left-- > 0) {
      response.end = () => {
        response.socket?.destroy();
        return response;
      };
    }
    return callback(request, response);
  });
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  const env = { ...CTL_ENV, DOTTERELMOOR_CTL_URL: `http://127.0.0.1:${port}` };
  return { table, lostResponses, ctl: (argv: string) => run(argv, env) };
}

// The entry closes the connection after it has applied the change.
test("guards against a change that is applied twice or abandoned when its response is lost", async (t) => {
  const { table, lostResponses, ctl } = await startEntry(t);
  const submit = (file: string, from: number) =>
    ctl(`submit ${file} --edited-from ${from} --why test`);
  t.is((await submit("platform.yaml", 0)).code, 0);
  lostResponses.left = 2;
  const lost = await submit("availdesk.yaml", 0);
  t.is(lost.code, EXIT_CODES.ok, lost.errors);
  t.is(lost.out, "Change 2 was applied before: document of availdesk");
  t.deepEqual(lost.waits, [250, 500]);

  lostResponses.left = 5;
  const unknown = await submit("edited.yaml", 2);
  t.is(unknown.code, EXIT_CODES.unreachable);
  const id = /--change-id (\S+);/.exec(unknown.errors)?.[1];
  const repeat = await ctl(
    `submit edited.yaml --edited-from 2 --why test --change-id ${id}`,
  );
  t.is(repeat.code, EXIT_CODES.ok, repeat.errors);
  t.is(table.listNow("audit/").length, 3);

  const conflict = await submit("availdesk.yaml", 2);
  t.is(conflict.code, EXIT_CODES.conflict);
  t.true(conflict.errors.includes("services[availdesk].shift.cap: 90 -> 80"));
});

// Errors found offline and by the entry must point into the submitted file.
test("guards against document errors without file, line, key or expected value", async (t) => {
  const { ctl } = await startEntry(t);
  await ctl("submit platform.yaml --edited-from 0 --why test");
  const location =
    '6:19: services[0].shift.cap: found "many", expected a number';
  for (
    const argv of [
      "check broken.yaml",
      "submit broken.yaml --edited-from 0 --why x",
    ]
  ) {
    const { code, errors } = await ctl(argv);
    t.is(code, EXIT_CODES.refused);
    t.true(errors.includes(`broken.yaml:${location}`), errors);
  }
  const { code, errors } = await ctl(
    "submit elsewhere.yaml --edited-from 0 --why x",
  );
  t.is(code, EXIT_CODES.refused);
  t.true(
    errors.includes("elsewhere.yaml:5:36: services[0].regions[2]"),
    errors,
  );
  const offline = await ctl(
    "check elsewhere.yaml --platform platform.yaml --with availdesk.yaml --json",
  );
  t.is(offline.code, EXIT_CODES.refused);
  t.is(JSON.parse(offline.errors).errors[0].line, 5);
});

// Paths and methods are repeated here and in the entry, and may diverge.
test("guards against subcommands that call the wrong route", async (t) => {
  const { ctl } = await startEntry(t);
  await ctl("submit platform.yaml --edited-from 0 --why test");
  await ctl("submit availdesk.yaml --edited-from 0 --why test");
  const expectedOutputs: Record<string, string | RegExp> = {
    "drain server-1 --why disk": "Change 3 is accepted: drain of server-1",
    "undrain server-1 --why done":
      "Change 4 is accepted: withdrawn drain of server-1",
    "show availdesk": FILES["availdesk.yaml"]!.trimEnd(),
    "show": /^team +version +who +when\navaildesk +2 +root /,
    "status": "store: ok",
    "history --limit 1":
      /^4 .* root {2}undrain server-1: done\n.*\nOlder changes/,
    "quarantine list": "none",
    "lease list": /service: availdesk/,
  };
  for (const [argv, expected] of Object.entries(expectedOutputs)) {
    const { code, out, errors } = await ctl(argv);
    t.is(code, EXIT_CODES.ok, `${argv}: ${errors}`);
    if (typeof expected === "string") t.is(out, expected);
    else t.regex(out, expected);
  }
  t.is(JSON.parse((await ctl("show availdesk --json")).out).version, 2);
  for (
    const argv of [
      "show nobody",
      "quarantine lift f1 --why x",
      "lease release a b --why x",
    ]
  ) {
    const { code, errors } = await ctl(argv);
    t.is(code, EXIT_CODES.refused, errors);
    t.true(errors.includes("(not-found)"), errors);
  }
});
