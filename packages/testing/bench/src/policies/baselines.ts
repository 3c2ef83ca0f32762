/**
 * Baseline policies: server selection by each entry alone, and an ideal queue.
 *
 * @module
 */

import type { Random } from "@dotterelmoor/core.types";
import type { ModelServer, RunEnd } from "./model_server.ts";
import { computeDelayMs, POLL_MS, SLOTS } from "./world.ts";
import type {
  CallerResult,
  ModelEntry,
  ModelGroup,
  ModelRequest,
  Policy,
  World,
} from "./world.ts";

type Choose = (
  servers: readonly ModelServer[],
  request: ModelRequest,
) => ModelServer;

/** Makes a policy by which each entry picks a server at random. */
export function makeRandomPolicy(world: World): Policy {
  const random = world.makeRandom(100);
  return makeEntryPolicy(world, (servers) => pickRandom(servers, random));
}

/** Makes a policy by which each entry takes the servers of a group in turn. */
export function makeRoundRobinPolicy(world: World): Policy {
  const turns = new Map<ModelEntry, Map<ModelGroup, number>>();
  return makeEntryPolicy(world, (servers, { entry, group }) => {
    const ownTurns = turns.get(entry) ?? new Map<ModelGroup, number>();
    const turn = ownTurns.get(group) ?? 0;
    turns.set(entry, ownTurns.set(group, turn + 1));
    return servers[turn % servers.length]!;
  });
}

/**
 * Makes a policy by which each entry picks two servers at random and takes the
 * less loaded one, by load reports that are up to 500 ms old.
 */
export function makeTwoChoicesPolicy(world: World): Policy {
  const random = world.makeRandom(101);
  const reported = new Map<ModelServer, number>();
  const poll = () => {
    for (const { servers } of world.groups) {
      for (const server of servers) reported.set(server, server.active);
    }
    world.clock.runAfter(POLL_MS, poll);
  };
  poll();
  return makeEntryPolicy(world, (servers) => {
    const first = pickRandom(servers, random);
    const second = pickRandom(servers.filter((one) => one !== first), random);
    return reported.get(second)! < reported.get(first)! ? second : first;
  });
}

function makeEntryPolicy(world: World, choose: Choose): Policy {
  return {
    submit(request, onEnd) {
      const { entry, group } = request;
      const servers = group.servers.filter((server) =>
        !world.hasSeenLeaving(entry, server)
      );
      const server = choose(servers, request);
      runAtServer(world, { request, server, onEnd });
    },
  };
}

/**
 * Makes an ideal policy: one queue per group that knows the state of every slot
 * at once and needs no hop. The delay between the caller's entry and the server
 * counts as for the other policies.
 */
export function makeIdealPolicy(world: World): Policy {
  const waiting = new Map(
    world.groups.map((group) => [group, [] as (() => boolean)[]]),
  );
  const used = new Map<ModelServer, number>();
  const send = (
    request: ModelRequest,
    onEnd: (result: CallerResult) => void,
  ): boolean => {
    const { nowMs } = world.clock;
    if (request.atMs + world.options.deadlineMs <= nowMs) {
      onEnd("refused");
      return true;
    }
    const server = findFree(request.group.servers, used, nowMs);
    if (server === undefined) return false;
    used.set(server, (used.get(server) ?? 0) + 1);
    const onServerEnd = () => {
      used.set(server, used.get(server)! - 1);
      sendWaiting(waiting.get(request.group)!);
    };
    runAtServer(world, { request, server, onEnd, onServerEnd });
    return true;
  };
  return {
    submit(request, onEnd) {
      const queue = waiting.get(request.group)!;
      queue.push(() => send(request, onEnd));
      sendWaiting(queue);
    },
  };
}

function sendWaiting(queue: (() => boolean)[]): void {
  while (queue[0]?.() === true) queue.shift();
}

function findFree(
  servers: readonly ModelServer[],
  used: ReadonlyMap<ModelServer, number>,
  nowMs: number,
): ModelServer | undefined {
  const free = servers.filter((server) =>
    server.leavingAtMs > nowMs && (used.get(server) ?? 0) < SLOTS
  );
  return free.sort((left, right) =>
    (used.get(left) ?? 0) - (used.get(right) ?? 0)
  )[0];
}

function runAtServer(world: World, run: {
  request: ModelRequest;
  server: ModelServer;
  onEnd: (result: CallerResult) => void;
  onServerEnd?: () => void;
}): void {
  const { request, server, onEnd, onServerEnd } = run;
  const { clock } = world;
  const delayMs = computeDelayMs(request.entry, server.options);
  const deadlineMs = request.atMs + world.options.deadlineMs - clock.nowMs;
  const end = (result: RunEnd) => {
    onServerEnd?.();
    const seen = result === "answered" ? "answered" : "failed";
    clock.runAfter(delayMs, () => onEnd(seen));
  };
  clock.runAfter(delayMs, () => {
    const { serviceMs } = request;
    server.start({ serviceMs, deadlineMs, onEnd: end });
  });
}

function pickRandom(
  servers: readonly ModelServer[],
  random: Random,
): ModelServer {
  return servers[Math.floor(random() * servers.length)]!;
}
