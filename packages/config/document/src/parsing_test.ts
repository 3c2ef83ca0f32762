import test from "ava";
import fc from "fast-check";
import { readdirSync, readFileSync } from "node:fs";
import type { TeamDocument } from "@dotterelmoor/core.types";
import {
  checkAgainstTeams,
  formatDocumentErrors,
  parsePlatformDocument,
  parseTeamDocument,
} from "./mod.ts";

const EXAMPLES = new URL("../../../../examples/", import.meta.url);

function readExample(name: string): string {
  return readFileSync(new URL(name, EXAMPLES), "utf8");
}

function readPlatform(set: string) {
  return parsePlatformDocument(readExample(`${set}/platform.yaml`), {
    file: "platform.yaml",
  }).unwrap();
}

/** Replaces parts of a text; throws if one is missing, so that none is skipped. */
function replaceText(text: string, edits: Record<string, string>): string {
  return Object.entries(edits).reduce((edited, [from, to]) => {
    if (!edited.includes(from)) throw new Error(`No ${from} in the document`);
    return edited.replace(from, to);
  }, text);
}

for (const set of ["consortium", "hnojovka"]) {
  test(`guards against examples that the checks refuse: ${set}`, (t) => {
    const platform = readPlatform(set);
    const teams: TeamDocument[] = [];
    const files = readdirSync(new URL(`${set}/`, EXAMPLES))
      .filter((file) => file !== "platform.yaml");
    for (const file of files) {
      const text = readExample(`${set}/${file}`);
      const result = parseTeamDocument(text, { file, platform });
      t.true(
        result.isOk(),
        result.isErr() ? formatDocumentErrors(result.error) : "",
      );
      const team = result.unwrap();
      t.deepEqual(checkAgainstTeams(team, teams), []);
      teams.push(team);
    }
    t.is(teams.length, 4);
  });
}

// Schema errors, errors that involve several values and violations of the
// platform's document must all be in one report, each with its position.
test("guards against a report of only the first errors", (t) => {
  const text = replaceText(readExample("consortium/holdkeeper.yaml"), {
    "cap: 40": "cap: 4000",
    "capricorn]": "atlantis]",
    "capricorn: 12": "atlantis: 12",
    "pathPrefix: /holds": "pathPrefix: holds",
    "        keyHeader: idempotency-key\n": "",
    "drainMs: 6000": "drainMs: 6000\n    drainSeconds: 6",
  });
  const errors = parseTeamDocument(text, {
    file: "holdkeeper.yaml",
    platform: readPlatform("consortium"),
  }).unwrapErr();
  const lines = text.split("\n");
  const located = errors.map((error) =>
    `${error.code} ${error.key} @ ${
      lines[error.line - 1]!.slice(error.column - 1).split(/[ ,\]:]/)[0]
    }`
  );
  t.deepEqual(located, [
    "region-unknown services[0].regions[2] @ atlantis",
    "limit-exceeded services[0].shift.cap @ 4000",
    "key-missing services[0].kinds[0].keyHeader @ name",
    "value-invalid services[0].kinds[0].pathPrefix @ holds",
    "key-unknown services[0].drainSeconds @ drainSeconds",
  ]);
  t.true(
    formatDocumentErrors(errors).includes(
      "holdkeeper.yaml:6:19: services[0].shift.cap: found 4000, " +
        "expected at most 200, the platform's maxShiftCap",
    ),
    formatDocumentErrors(errors),
  );
});

const INVALID_DOCUMENTS: Record<string, [Record<string, string>, string]> = {
  "a deadline that outlasts authority": [
    { "deadlineMs: 5000": "deadlineMs: 6001" },
    "services[0].kinds[0].deadlineMs",
  ],
  "a share above 1": [
    { "linkShare: 0.25": "linkShare: 1.1" },
    "services[0].linkShare",
  ],
  "two kinds with the same name": [
    { "name: certificate-look-up": "name: certificate-lodgement" },
    "services[0].kinds[1].name",
  ],
  "two kinds with the same route": [
    { "[GET]": "[POST]" },
    "services[0].kinds[1].methods[0]",
  ],
  "a duplicate key": [
    { "linkShare: 0.25": "linkShare: 0.25\n    linkShare: 1" },
    "",
  ],
  "a syntax error": [{ "    linkShare: 0.25": "   linkShare: [" }, ""],
  "an alias": [{ "team: certledger": "team: &a b\nother: *a" }, ""],
  "values that are nested too deeply": [
    { "team: certledger": `team: ${"[".repeat(100_000)}` },
    "",
  ],
  "the platform's name": [{ "team: certledger": "team: platform" }, "team"],
};

for (const [what, [edits, key]] of Object.entries(INVALID_DOCUMENTS)) {
  test(`guards against a document with ${what}`, (t) => {
    const text = replaceText(readExample("consortium/certledger.yaml"), edits);
    const errors = parseTeamDocument(text, { file: "f" }).unwrapErr();
    t.is(errors[0]?.key, key, formatDocumentErrors(errors));
    t.true(errors[0]!.line > 0);
  });
}

// The schema permits deadlines up to 6 s; the platform's limit may be lower.
test("guards against a lower limit of the platform that is ignored", (t) => {
  const platform = readPlatform("consortium");
  const errors = parseTeamDocument(readExample("consortium/certledger.yaml"), {
    file: "f",
    platform: {
      ...platform,
      limits: { ...platform.limits, maxDeadlineMs: 4_000 },
    },
  }).unwrapErr();
  t.deepEqual(errors.map((error) => [error.code, error.found]), [[
    "deadline-above-limit",
    "5000",
  ]]);
});

// Another team claims the same service, and the shares of both teams add up to
// more than 1 on a link.
test("guards against teams that take each other's service or link", (t) => {
  const text = readExample("consortium/availdesk.yaml");
  const own = parseTeamDocument(text, { file: "f" }).unwrap();
  const [service] = own.services;
  const other: TeamDocument = {
    team: "rival",
    services: [{ ...service!, linkShare: 0.8 }],
  };
  const errors = checkAgainstTeams(own, [other], { file: "f", text });
  t.deepEqual(errors.map((error) => [error.code, error.line]), [
    ["service-owned-elsewhere", 4],
    ["link-oversubscribed", 8],
  ]);
  // Shares of 0.6 and 0.6 in two regions exceed the link between them; shares
  // of 0.4 and 0.6 within one region do not exceed 1.
  const [near, far] = [["southeast"], ["farnorth"]].map((regions, index) => ({
    team: `team-${index}`,
    services: [{ ...service!, name: `s-${index}`, regions, linkShare: 0.6 }],
  }));
  const third = {
    ...far!,
    team: "team-3",
    services: [{ ...far!.services[0]!, name: "s-3", linkShare: 0.4 }],
  };
  t.is(checkAgainstTeams(near!, [far!]).length, 1);
  t.deepEqual(checkAgainstTeams(third, [far!]), []);
});

test("guards against a platform document that contradicts itself", (t) => {
  const text = replaceText(readExample("hnojovka/platform.yaml"), {
    "from: zapad, to: stred": "from: zapad, to: zapad",
    "127.2.0.0/16": "127.2.0.0/99",
    "zones: [vychod-a": "zones: [stred-a",
    "maxDeadlineMs: 6000": "maxDeadlineMs: 9000",
    "127.3.0.0/16, region: vychod": "127.3.0.0/16, region: sever",
  });
  const errors = parsePlatformDocument(text, { file: "f" }).unwrapErr();
  t.deepEqual(errors.map((error) => error.key), [
    "regions[2].zones[0]",
    "links[0].to",
    "clientBlocks[1].block",
    "clientBlocks[2].region",
    "limits.maxDeadlineMs",
  ], formatDocumentErrors(errors));
});

// Random edits, with YAML syntax among the inserted text, must give errors with
// a position, never an exception.
test("guards against text that makes the parser throw or report no position", (t) => {
  const text = readExample("consortium/certledger.yaml");
  const platform = readPlatform("consortium");
  const edit = fc.record({
    at: fc.nat(text.length),
    cut: fc.nat(40),
    insert: fc.oneof(
      fc.constantFrom(
        "null",
        "[]",
        "{}",
        "-",
        ": ",
        "'",
        "&a",
        "*a",
        "__proto__: 1",
      ),
      fc.string({ maxLength: 8 }),
    ),
  });
  fc.assert(
    fc.property(fc.array(edit, { minLength: 1, maxLength: 4 }), (edits) => {
      const edited = edits.reduce(
        (before, { at, cut, insert }) =>
          before.slice(0, at) + insert + before.slice(at + cut),
        text,
      );
      const result = parseTeamDocument(edited, { file: "f", platform });
      const lines = edited.split("\n").length;
      return result.isOk() ||
        result.error.every((error) =>
          error.line >= 1 && error.line <= lines && error.column >= 1 &&
          error.message !== "" && error.expected !== ""
        );
    }),
    { seed: 20_261_204, numRuns: 1_000 },
  );
  t.pass();
});
