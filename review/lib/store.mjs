/**
 * Stand-in of the platform's metadata store: rows in memory behind HTTP, as
 * PROTOCOL.md describes them. It injects no fault.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { createServer } from "node:http";

const PAGE_ROWS = 500;

/** Starts the store on loopback. */
export async function startStore(host = "127.0.0.1") {
  const store = new Store();
  const server = createServer((request, response) =>
    void store.answer(request, response)
  );
  await new Promise((resolve) => server.listen(0, host, resolve));
  store.address = `${host}:${server.address().port}`;
  store.close = () => {
    server.closeAllConnections();
    server.close();
  };
  return store;
}

class Store {
  #rows = new Map();
  #history = [];
  #version = 0;
  #waiting = new Set();

  /** Writes a row whose value is JSON; the return is the acknowledgement. */
  put(table, key, value) {
    const text = Buffer.from(JSON.stringify(value)).toString("base64");
    this.#write([{ table, part: "", key, value: text }], []);
  }

  drop(table, key) {
    this.#write([], [{ table, part: "", key }]);
  }

  #write(writes, remove) {
    this.#version += 1;
    const ver = this.#version;
    for (const { table, part = "", key, value } of writes) {
      const row = { table, part, key, value, ver };
      this.#rows.set(`${table}/${part}/${key}`, row);
      this.#history.push(row);
    }
    for (const { table, part = "", key } of remove) {
      if (!this.#rows.delete(`${table}/${part}/${key}`)) continue;
      this.#history.push({ table, part, key, ver, deleted: true });
    }
    for (const wake of [...this.#waiting]) wake();
  }

  async answer(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const url = new URL(request.url, "http://store");
    const query = url.searchParams;
    let status = 200;
    let body = {};
    if (url.pathname === "/rows-get") body = this.#read(query);
    else if (url.pathname === "/rows-feed") body = await this.#feed(query);
    else if (url.pathname === "/rows-tx") {
      status = this.#transact(JSON.parse(Buffer.concat(chunks).toString()));
    } else status = 404;
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify({
      ...body,
      ver: this.#version,
      now_ms: Math.round(performance.now()),
    }));
  }

  #read(query) {
    const [table, part, from] = ["table", "part", "from"].map((name) =>
      query.get(name) ?? ""
    );
    const found = [...this.#rows.values()]
      .filter((row) =>
        row.table === table && row.part === part && row.key >= from
      )
      .sort((a, b) => a.key < b.key ? -1 : 1);
    const limit = Math.min(PAGE_ROWS, Number(query.get("limit") ?? PAGE_ROWS));
    return { rows: found.slice(0, limit), has_more: found.length > limit };
  }

  async #feed(query) {
    const after = Number(query.get("after"));
    const table = query.get("table");
    const find = () =>
      this.#history.filter((row) => row.table === table && row.ver > after);
    const endAtMs = performance.now() + Number(query.get("wait_ms"));
    while (find().length === 0 && performance.now() < endAtMs) {
      await this.#waitForChange(endAtMs - performance.now());
    }
    return { rows: find() };
  }

  #waitForChange(ms) {
    return new Promise((resolve) => {
      const end = () => {
        clearTimeout(timer);
        this.#waiting.delete(end);
        resolve();
      };
      const timer = setTimeout(end, ms);
      this.#waiting.add(end);
    });
  }

  #transact({ expected_rev = [], writes = [], remove = [] }) {
    const isCurrent = expected_rev.every(({ table, part = "", key, ver }) =>
      (this.#rows.get(`${table}/${part}/${key}`)?.ver ?? 0) === ver
    );
    if (!isCurrent) return 412;
    this.#write(writes, remove);
    return 200;
  }
}
