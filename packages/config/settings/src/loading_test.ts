import test from "ava";
import {
  describeEntryFlags,
  formatSettingsErrors,
  loadEntrySettings,
  renderEntrySettings,
} from "./mod.ts";

const PEER_TOKEN = "p".repeat(40);
const OPERATOR_TOKEN = "o".repeat(40);

const FILES: Record<string, string> = {
  "/s/peer": `${PEER_TOKEN}\n`,
  "/s/operators":
    `- { name: rowan, token: ${OPERATOR_TOKEN}, teams: [availdesk], role: operator }\n`,
  "/s/entry.yaml": [
    "instance: entry-1",
    "region: southeast",
    "zone: southeast-a",
    "callers: { listen: '127.0.0.1:0', advertise: '127.0.0.1:8080' }",
    "peers: { listen: '127.0.0.1:0' }",
    "operators: { listen: '[::1]:0' }",
    "platformUrl: http://127.0.0.1:9000",
    "peerTokenFile: /s/peer",
    "operatorTokensFile: /s/operators",
    "seeds: ['127.0.0.1:7001']",
  ].join("\n"),
};

function load(
  argv: string[],
  options: {
    env?: Record<string, string>;
    files?: Record<string, string>;
  } = {},
) {
  const files = { ...FILES, ...options.files };
  return loadEntrySettings({
    argv,
    env: options.env ?? {},
    readFile: (path) => {
      const text = files[path];
      if (text === undefined) {
        throw Object.assign(new Error("No file"), { code: "ENOENT" });
      }
      return text;
    },
  });
}

test("guards against a wrong precedence of file, variables and flags", (t) => {
  const result = load(
    [
      "--settings",
      "/s/entry.yaml",
      "--zone=southeast-c",
      "--seeds",
      "a:1, b:2",
    ],
    {
      env: {
        DOTTERELMOOR_ZONE: "southeast-b",
        DOTTERELMOOR_PEERS_ADVERTISE: "127.0.0.1:7009",
        DOTTERELMOOR_LOOKUP_TTL_MS: "2500",
        PATH: "/bin",
      },
    },
  );
  const settings = result.unwrap();
  t.like(settings, {
    instance: "entry-1",
    zone: "southeast-c",
    seeds: ["a:1", "b:2"],
    callers: { host: "127.0.0.1", port: 0, advertise: "127.0.0.1:8080" },
    peers: { host: "127.0.0.1", port: 0, advertise: "127.0.0.1:7009" },
    operators: { host: "::1", port: 0 },
    lookupTtlMs: 2500,
    logLevel: "info",
    peerToken: PEER_TOKEN,
    printSettings: false,
  });
  t.is(settings.metrics, undefined);
});

// Both token files are malformed, so that a message that quotes their text would
// contain a token.
test("guards against secret values in printed settings and errors", (t) => {
  const settings = load(["--settings=/s/entry.yaml", "--print-settings"])
    .unwrap();
  t.true(settings.printSettings);
  const text = renderEntrySettings(settings);
  t.true(text.includes("name: rowan"));
  t.false(text.includes(PEER_TOKEN) || text.includes(OPERATOR_TOKEN), text);
  const broken = load(["--settings=/s/entry.yaml"], {
    files: {
      "/s/peer": `${PEER_TOKEN} ${PEER_TOKEN}`,
      "/s/operators":
        FILES["/s/operators"]!.replace("role: operator", "role: [") +
        `x: ${OPERATOR_TOKEN}`,
    },
  }).unwrapErr();
  const rendered = formatSettingsErrors(broken);
  t.deepEqual(broken.map((error) => error.setting), [
    "peerTokenFile",
    "operatorTokensFile",
  ], rendered);
  t.false(/p{40}|o{40}/.test(rendered), rendered);
});

// Errors of flags, variables, files and values must all be in one report.
test("guards against a report of only the first errors", (t) => {
  const errors = load(
    ["--settings=/s/bad.yaml", "--colour", "red", "--peer-token-file=/s/none"],
    {
      env: { DOTTERELMOOR_CALLERS_LISTEN: "nowhere", DOTTERELMOOR_ZONNE: "x" },
      files: {
        "/s/bad.yaml":
          "instance: entry-1\nregion: South East\npeers: { listen: '1.2.3.4:70000' }\n" +
          "operators: { listen: '127.0.0.1:0', port: 1 }\nmetrics: '127.0.0.1:0'\n" +
          "platformUrl: ftp://a\noperatorTokensFile: /s/operators\nlookupTtlMs: soon\n",
      },
    },
  ).unwrapErr();
  t.deepEqual(
    errors.map((error) => `${error.code} ${error.setting} ${error.source}`)
      .sort(),
    [
      "file-unreadable peerTokenFile /s/none",
      "flag-invalid --colour flags",
      "flag-invalid red flags",
      "setting-invalid callers.listen DOTTERELMOOR_CALLERS_LISTEN",
      "setting-invalid lookupTtlMs /s/bad.yaml",
      "setting-invalid metrics /s/bad.yaml",
      "setting-invalid peers.listen /s/bad.yaml",
      "setting-invalid platformUrl /s/bad.yaml",
      "setting-invalid region /s/bad.yaml",
      "setting-missing zone /s/bad.yaml",
      "setting-unknown DOTTERELMOOR_ZONNE DOTTERELMOOR_ZONNE",
      "setting-unknown operators.port /s/bad.yaml",
    ],
    formatSettingsErrors(errors),
  );
});

// Without a file, variables and flags, each required setting is an error.
test("guards against a start without any settings", (t) => {
  const errors = load([]).unwrapErr();
  t.true(errors.every((error) => error.code === "setting-missing"));
  t.is(errors.length, 9, formatSettingsErrors(errors));
  t.true(describeEntryFlags().includes("DOTTERELMOOR_PEER_TOKEN_FILE"));
});
