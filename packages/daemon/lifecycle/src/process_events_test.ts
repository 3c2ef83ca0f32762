import { execFile } from "node:child_process";
import { promisify } from "node:util";
import test from "ava";

/** Raises two unhandled errors and then SIGTERM. */
const SCRIPT = `
import { handleSignals, handleUnexpectedErrors } from ${
  JSON.stringify(new URL("./process_events.js", import.meta.url).href)
};
handleSignals({
  leave: () => Promise.resolve(console.log("left")),
  noteReload: () => {},
});
handleUnexpectedErrors((error) => console.log(error.message));
setInterval(() => {}, 1_000);
setTimeout(() => { throw new Error("thrown"); }, 1);
setTimeout(() => Promise.reject(new Error("rejected")), 50);
setTimeout(() => process.kill(process.pid, "SIGTERM"), 100);
`;

// Ending the process would cut off every request in flight.
test("guards against an unhandled error that ends the process", async (t) => {
  const { stdout } = await promisify(execFile)(process.execPath, [
    "--input-type=module",
    "--eval",
    SCRIPT,
  ]);
  t.deepEqual(stdout.trim().split("\n"), ["thrown", "rejected", "left"]);
});

/** Raises signals while the daemon leaves. */
const LEAVING_SCRIPT = `
import { handleSignals } from ${
  JSON.stringify(new URL("./process_events.js", import.meta.url).href)
};
handleSignals({
  leave: () => {
    console.log("leaving");
    return new Promise((resolve) => setTimeout(resolve, 100));
  },
  noteReload: () => console.log("reload"),
});
const raise = (signal) => process.kill(process.pid, signal);
setInterval(() => {}, 1_000);
setTimeout(() => raise("SIGTERM"), 1);
setTimeout(() => { raise("SIGTERM"); raise("SIGHUP"); }, 50);
`;

// Leaving twice, or ending by the signal, would cut off requests in flight.
test("guards against a signal that interrupts a graceful stop", async (t) => {
  const { stdout } = await promisify(execFile)(process.execPath, [
    "--input-type=module",
    "--eval",
    LEAVING_SCRIPT,
  ]);
  t.deepEqual(stdout.trim().split("\n"), ["leaving", "reload"]);
});
