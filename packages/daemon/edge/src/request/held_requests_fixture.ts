/**
 * A forwarder that holds requests until the test answers them.
 *
 * @module
 */

import type { ForwardRequest, ForwardResult } from "./forward_types.ts";

/** Writes the head of a request with an id, without a body. */
export function writeRequest(id: string): string {
  return `GET /a/${id} HTTP/1.1\r\nhost: desk.example\r\n` +
    `dotterelmoor-request-id: ${id}\r\n\r\n`;
}

/** Creates a forwarder that holds each request until the test answers it. */
export function createHeldForwarder() {
  const ends = new Map<string, (body: string) => void>();
  let markForwarded = () => {};
  return {
    ends,
    /** Resolves when `count` requests were forwarded. */
    waitFor: async (count: number) => {
      while (ends.size < count) {
        await new Promise<void>((resolve) => markForwarded = resolve);
      }
    },
    forward: ({ requestId }: Pick<ForwardRequest, "requestId">) =>
      new Promise<ForwardResult>((resolve) => {
        ends.set(requestId, (text) =>
          resolve({
            outcome: {
              type: "answered",
              status: 200,
              headers: {},
              body: Buffer.from(text),
            },
            sends: [],
          }));
        markForwarded();
      }),
  };
}
