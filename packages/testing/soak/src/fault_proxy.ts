/**
 * TCP proxy on loopback that delays, holds back or resets connections.
 *
 * @module
 */

import { connect, createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";

/** Address of a TCP listener. */
export interface Endpoint {
  readonly host: string;
  readonly port: number;
}

/** Faults that a proxy applies to its connections. */
export interface LinkFaults {
  /** Delay in milliseconds in each direction. */
  readonly delayMs: number;
  /** True to hold back data from callers until this is reset. */
  readonly cutsCallers: boolean;
  /** True to hold back data from the target until this is reset. */
  readonly cutsTarget: boolean;
}

/** A running proxy. */
export interface FaultProxy {
  /** `host:port` of the listener. */
  readonly address: string;
  setFaults(faults: Partial<LinkFaults>): void;
  /** Resets all connections; new ones go to another target. */
  setTarget(target: Endpoint): void;
  /** Resets all connections. */
  reset(): void;
  /**
   * Stops forwarding on the open connections without closing them. New
   * connections work.
   */
  silence(): void;
  close(): void;
}

const NO_FAULTS: LinkFaults = {
  delayMs: 0,
  cutsCallers: false,
  cutsTarget: false,
};

/** Starts a proxy; port 0 picks a free port. Rejects if it cannot listen. */
export async function startFaultProxy(
  listen: Endpoint,
  firstTarget: Endpoint,
): Promise<FaultProxy> {
  const links = new Set<ProxiedConnection>();
  let faults = NO_FAULTS;
  let target = firstTarget;
  const server: Server = createServer((caller) => {
    const link = new ProxiedConnection(caller, connect(target), () => faults);
    links.add(link);
    caller.once("close", () => links.delete(link));
  });
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(listen.port, listen.host, resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    address: `${listen.host}:${port}`,
    setFaults: (changes) => {
      faults = { ...faults, ...changes };
      for (const link of links) link.flush();
    },
    setTarget: (newTarget) => {
      target = newTarget;
      links.forEach((link) => link.reset());
    },
    reset: () => links.forEach((link) => link.reset()),
    silence: () => links.forEach((link) => link.silence()),
    close: () => {
      links.forEach((link) => link.reset());
      server.close();
    },
  };
}

/** A caller's connection and the matching one to the target. */
class ProxiedConnection {
  readonly #caller: Socket;
  readonly #target: Socket;
  readonly #flows: readonly DataFlow[];
  #isSilent = false;

  constructor(caller: Socket, target: Socket, getFaults: () => LinkFaults) {
    this.#caller = caller;
    this.#target = target;
    const isCut = (cut: (faults: LinkFaults) => boolean) => () =>
      this.#isSilent || cut(getFaults());
    const getDelayMs = () => getFaults().delayMs;
    this.#flows = [
      new DataFlow(caller, target, {
        isCut: isCut((faults) => faults.cutsCallers),
        getDelayMs,
      }),
      new DataFlow(target, caller, {
        isCut: isCut((faults) => faults.cutsTarget),
        getDelayMs,
      }),
    ];
    for (const socket of [caller, target]) {
      // Ignored, because the "close" event that follows is passed on.
      socket.on("error", () => {});
      socket.setNoDelay(true);
    }
    target.once("close", () => caller.destroy());
    caller.once("close", () => target.destroy());
  }

  flush(): void {
    for (const flow of this.#flows) flow.flush();
  }

  reset(): void {
    for (const socket of [this.#caller, this.#target]) {
      // Node.js leaves a handle open if a socket that is ending is reset.
      if (socket.writableEnded) socket.destroy();
      else socket.resetAndDestroy();
    }
  }

  silence(): void {
    this.#isSilent = true;
  }
}

interface DataFlowOptions {
  readonly isCut: () => boolean;
  readonly getDelayMs: () => number;
}

/** Data in one direction; `undefined` marks its end. */
class DataFlow {
  readonly #to: Socket;
  readonly #options: DataFlowOptions;
  readonly #queue: (Buffer | undefined)[] = [];

  constructor(from: Socket, to: Socket, options: DataFlowOptions) {
    this.#to = to;
    this.#options = options;
    from.on("data", (bytes: Buffer) => this.#forward(bytes));
    from.once("end", () => this.#forward(undefined));
  }

  flush(): void {
    while (this.#queue.length > 0 && !this.#options.isCut()) {
      const bytes = this.#queue.shift();
      if (this.#to.destroyed) return;
      if (bytes === undefined) this.#to.end();
      else this.#to.write(bytes);
    }
  }

  #forward(bytes: Buffer | undefined): void {
    const delayMs = this.#options.getDelayMs();
    const enqueue = () => {
      this.#queue.push(bytes);
      this.flush();
    };
    // Timers with the same delay fire in the order in which they were set.
    if (delayMs > 0) setTimeout(enqueue, delayMs);
    else enqueue();
  }
}
