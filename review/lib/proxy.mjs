/**
 * Proxy before the store, whose open connections can go silent while new ones
 * work.
 *
 * @module
 */

import { connect, createServer } from "node:net";

/** Starts a proxy before the store, whose open connections can go silent. */
export async function startProxy(storeAddress) {
  const [host, port] = storeAddress.split(":");
  const links = new Set();
  const server = createServer((near) => {
    const far = connect(Number(port), host);
    const link = { near, far, isWaiting: false, isSilent: false };
    links.add(link);
    near.on("data", (chunk) => {
      if (link.isSilent) return;
      const text = chunk.toString("latin1");
      link.isWaiting = /^GET \/rows-feed\?table=op&.*wait_ms=4000/.test(text);
      far.write(chunk);
    });
    far.on("data", (chunk) => {
      if (link.isSilent) return;
      link.isWaiting = false;
      near.write(chunk);
    });
    const end = () => {
      links.delete(link);
      far.destroy();
      near.destroy();
    };
    near.on("error", end);
    near.on("close", end);
    far.on("error", end);
    far.on("close", () => link.isSilent || end());
  });
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    address: `127.0.0.1:${server.address().port}`,
    /** Silences the connections that wait for a change of the configuration;
     * returns their number. */
    silence: () => {
      const waiting = [...links].filter(({ isWaiting }) => isWaiting);
      for (const link of waiting) link.isSilent = true;
      return waiting.length;
    },
    close: () => {
      for (const { near, far } of links) {
        near.destroy();
        far.destroy();
      }
      server.close();
    },
  };
}
