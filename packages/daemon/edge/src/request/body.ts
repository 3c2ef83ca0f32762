/**
 * Reads a caller's request body, up to a size limit.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import { BROKEN } from "@dotterelmoor/network.callers";

/** The result of reading a body; `cut` if the connection closed before the end
 * of the body, `broken` if what follows can't be read, but the connection is
 * open. */
export type BodyResult =
  | { readonly type: "body"; readonly bytes: Uint8Array }
  | { readonly type: "too-large" }
  | { readonly type: "broken" }
  | { readonly type: "cut" };

const EMPTY = new Uint8Array();

/** Reads the whole body into memory; never rejects. */
export function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<BodyResult> {
  const { headers } = request;
  const hasBody = headers["transfer-encoding"] !== undefined ||
    (headers["content-length"] ?? "0") !== "0";
  if (!hasBody) {
    request.resume();
    return Promise.resolve({ type: "body", bytes: EMPTY });
  }
  if (Number(headers["content-length"] ?? 0) > maxBytes) {
    return Promise.resolve({ type: "too-large" });
  }
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    request.on("data", (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBytes) resolve({ type: "too-large" });
      else chunks.push(chunk);
    });
    request.once("end", () => {
      const bytes = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
      resolve({ type: "body", bytes });
    });
    request.once("close", () => resolve({ type: "cut" }));
    request.once(BROKEN, () => resolve({ type: "broken" }));
  });
}
