import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { once } from "node:events";
import { connect } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { ExecutionContext } from "ava";
import test from "ava";
import { startProcess } from "./processes.ts";

const CHILD = `
import { createServer } from "node:net";
const server = createServer((socket) => socket.end("alive"));
server.listen(0, "127.0.0.1", () => {
  console.log("not the ready line");
  console.log(JSON.stringify({ ready: true, port: server.address().port }));
});
process.on("SIGTERM", () => process.exit(7));
`;

async function writeScript(t: ExecutionContext, text: string) {
  const directory = await mkdtemp(join(tmpdir(), "dotterelmoor-"));
  t.teardown(() => rm(directory, { recursive: true }));
  const script = join(directory, "child.mjs");
  await writeFile(script, text);
  return script;
}

async function readResponse(port: unknown): Promise<string> {
  const socket = connect(Number(port), "127.0.0.1");
  const [answer] = await once(socket, "data");
  return String(answer);
}

// Other output precedes the ready line, and the process handles SIGTERM itself.
test("guards against a wrong ready line, a stuck suspension or a lost exit code", async (t) => {
  const child = await startProcess({ script: await writeScript(t, CHILD) });
  t.is(await readResponse(child.ready.port), "alive");
  t.is(child.stdoutLines[0], "not the ready line");
  child.freeze();
  const response = readResponse(child.ready.port);
  child.resume();
  t.is(await response, "alive");
  child.terminate();
  t.is(await child.exited, 7);
});

// The script exits, or runs on, without a ready line.
test("guards against a failed start that hangs", async (t) => {
  const script = await writeScript(t, `console.error("cannot bind");`);
  await t.throwsAsync(startProcess({ script }), { message: /cannot bind/ });
  const unreadyScript = await writeScript(t, "setInterval(() => {}, 1000);");
  await t.throwsAsync(
    startProcess({ script: unreadyScript, readyTimeoutMs: 100 }),
  );
});

// A suspended child does not react to SIGTERM, so it must be killed when its
// parent is terminated.
test("guards against child processes that outlive their parent", async (t) => {
  const child = await writeScript(t, CHILD);
  const module = new URL("./processes.js", import.meta.url).href;
  const parent = await startProcess({
    script: await writeScript(
      t,
      `import { startProcess } from ${JSON.stringify(module)};
       const child = await startProcess({ script: ${JSON.stringify(child)} });
       child.freeze();
       console.log(JSON.stringify({ ready: true, port: child.ready.port }));`,
    ),
  });
  parent.terminate();
  t.is(await parent.exited, 143);
  // The kernel closes the port of the killed process asynchronously.
  while (await isListening(Number(parent.ready.port)));
  t.pass();
});

function isListening(port: number): Promise<boolean> {
  const socket = connect(port, "127.0.0.1");
  return new Promise((resolve) => {
    socket.once("connect", () => resolve(true));
    socket.once("error", () => resolve(false));
    socket.once("close", () => resolve(false));
  }).finally(() => socket.destroy()) as Promise<boolean>;
}
