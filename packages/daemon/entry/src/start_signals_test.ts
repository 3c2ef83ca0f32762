import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import test from "ava";
import { buildStartSignal } from "../../lifecycle/src/start_signals_fixture.ts";

const MAIN = fileURLToPath(new URL("./main.js", import.meta.url));

const NOTED = /Settings changed; restart to apply them/;

// The platform's service manager tells all of its services in the same way that
// their settings changed; the default action of the signal ends the process.
test("guards against a reload signal that ends the entry, during its start or later", async (t) => {
  const folder = await mkdtemp(join(tmpdir(), "entry-"));
  t.teardown(() => rm(folder, { recursive: true }));
  const settingsFile = join(folder, "peer-token");
  await writeFile(settingsFile, "example-peer-token-0123456789abcdef0123");
  const tokens = join(folder, "operator-tokens.yaml");
  const token = "example-operator-token-0123456789abcdef";
  await writeFile(
    tokens,
    `- { name: example, token: ${token}, teams: ["*"], role: admin }\n`,
  );
  const { args, env } = buildStartSignal({
    moment: "listening",
    event: "SIGHUP",
    settingsFile,
  });
  const child = spawn(process.execPath, [...args, MAIN], {
    env: {
      ...process.env,
      ...env,
      DOTTERELMOOR_INSTANCE: "n1",
      DOTTERELMOOR_REGION: "a",
      DOTTERELMOOR_ZONE: "a-1",
      DOTTERELMOOR_CALLERS_LISTEN: "127.0.0.1:0",
      DOTTERELMOOR_PEERS_LISTEN: "127.0.0.1:0",
      DOTTERELMOOR_OPERATORS_LISTEN: "127.0.0.1:0",
      // Port 1 refuses connections, so the entry starts without a platform.
      DOTTERELMOOR_PLATFORM_URL: "http://127.0.0.1:1",
      DOTTERELMOOR_PEER_TOKEN_FILE: settingsFile,
      DOTTERELMOOR_OPERATOR_TOKENS_FILE: tokens,
      DOTTERELMOOR_LOG_LEVEL: "info",
    },
    stdio: ["ignore", "ignore", "pipe"],
  });
  const ended = once(child, "exit");
  t.teardown(async () => {
    child.kill("SIGKILL");
    await ended;
  });
  const lines = createInterface({ input: child.stderr });
  let noted = 0;
  for await (const line of lines) {
    if (!NOTED.test(line)) continue;
    noted += 1;
    if (noted === 2) break;
    child.kill("SIGHUP");
  }
  t.is(noted, 2);
  t.deepEqual([child.exitCode, child.signalCode], [null, null]);
});
