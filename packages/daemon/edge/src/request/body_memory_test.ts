import { request as openRequest } from "node:http";
import test from "ava";
import { callEdge } from "../edge_fixture.ts";
import { hashBody, startFrontProcess } from "./front_process_fixture.ts";

const MAX_BODY_BYTES = 64 * 1_024 * 1_024;

/** Allowed growth of the process's memory: one body of the largest size, and
 * what is read but not yet collected. An entry may take 272 MB, of which it
 * needs about 90 MB itself. */
const MAX_GROWN_BYTES = 180 * 1_000 * 1_000;

const WAIT_MS = 60_000;

/** Sizes of the bodies that are sent at the same time, and how. */
const UPLOADS: Readonly<
  Record<
    string,
    { readonly sizes: readonly number[]; readonly chunked: boolean }
  >
> = {
  "bodies of the allowed size": {
    sizes: Array(4).fill(MAX_BODY_BYTES),
    chunked: false,
  },
  "chunked bodies": {
    sizes: Array(4).fill(MAX_BODY_BYTES),
    chunked: true,
  },
  "many bodies of a medium size": {
    sizes: Array(100).fill(3 * 1_024 * 1_024),
    chunked: false,
  },
};

interface Upload {
  readonly host: string;
  readonly port: number;
  readonly body: Buffer;
  readonly chunked: boolean;
}

/** Sends a body; resolves to the status and the body of the answer. */
function upload({ host, port, body, chunked }: Upload): Promise<string> {
  return new Promise((resolve, reject) => {
    const call = openRequest({
      host,
      port,
      path: "/a/x",
      method: "POST",
      agent: false,
      headers: {
        host: "desk.example",
        "dotterelmoor-request-id": "q1",
        "dotterelmoor-deadline-ms": String(WAIT_MS),
        ...(chunked
          ? { "transfer-encoding": "chunked" }
          : { "content-length": body.length }),
      },
    }, (response) => {
      let text = `${response.statusCode} `;
      response.on("data", (chunk: Buffer) => text += chunk);
      response.on("error", reject);
      response.on("end", () => resolve(text));
    });
    call.on("error", reject);
    call.end(body);
  });
}

// Each body is within the limit on one body; their sum was not limited.
for (const [name, { sizes, chunked }] of Object.entries(UPLOADS)) {
  test.serial(`guards against a process that runs out of memory by ${name} at once`, async (t) => {
    const front = await startFrontProcess(t, MAX_BODY_BYTES);
    let hasEnded = false;
    const small = (async () => {
      while (!hasEnded) {
        const body = "small";
        const { status } = await callEdge(front.address, {
          method: "POST",
          body,
        });
        t.is(status, 200);
      }
    })();
    const answers = await Promise.all(sizes.map(async (size, index) => {
      const body = Buffer.alloc(size, `body ${index % 7} `);
      const answer = await upload({ ...front.address, body, chunked });
      return answer === `200 ${hashBody(body)}`;
    }));
    hasEnded = true;
    await small;
    t.deepEqual(answers, sizes.map(() => true));
    const grownBytes = front.readGrownBytes();
    t.log(`${grownBytes} bytes`);
    t.true(grownBytes < MAX_GROWN_BYTES, `${grownBytes} bytes more in use`);
  });
}
