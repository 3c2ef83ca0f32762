/**
 * Baseline policies: server selection by each entry alone, and an ideal queue.
 *
 * @module
 */

import type { Random } from "@dotterelmoor/core.types";
import type { ModelServer, RunResult } from "./model_server.ts";
import { computeDelayMs, POLL_INTERVAL_MS, SLOTS_PER_SERVER } from "./world.ts";
import type {
  CallerResult,
  ModelEntry,
  ModelGroup,
  ModelRequest,
  Policy,
  World,
} from "./world.ts";

type ChooseServer = (
  servers: readonly ModelServer[],
  request: ModelRequest,
) => ModelServer;

/** Makes a policy by which each entry picks a server at random. */
export function makeRandomPolicy(world: World): Policy {
  const random = world.makeRandom(100);
  return makeEntryPolicy(world, (servers) => pickRandomServer(servers, random));
}

/** Makes a policy by which each entry takes the servers of a group in turn. */
export function makeRoundRobinPolicy(world: World): Policy {
  const turns = new Map<ModelEntry, Map<ModelGroup, number>>();
  return makeEntryPolicy(world, (servers, { entry, group }) => {
    const groupTurns = turns.get(entry) ?? new Map<ModelGroup, number>();
    const turn = groupTurns.get(group) ?? 0;
    turns.set(entry, groupTurns.set(group, turn + 1));
    return servers[turn % servers.length]!;
  });
}

/**
 * Makes a policy by which each entry picks two servers at random and takes the
 * less loaded one, by load reports that are up to 500 ms old.
 */
export function makeTwoChoicesPolicy(world: World): Policy {
  const random = world.makeRandom(101);
  const loads = new Map<ModelServer, number>();
  const poll = () => {
    for (const { servers } of world.groups) {
      for (const server of servers) loads.set(server, server.activeCount);
    }
    world.clock.runAfter(POLL_INTERVAL_MS, poll);
  };
  poll();
  return makeEntryPolicy(world, (servers) => {
    const first = pickRandomServer(servers, random);
    const second = pickRandomServer(
      servers.filter((server) => server !== first),
      random,
    );
    return loads.get(second)! < loads.get(first)! ? second : first;
  });
}

function makeEntryPolicy(world: World, choose: ChooseServer): Policy {
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
  const queues = new Map(
    world.groups.map((group) => [group, [] as (() => boolean)[]]),
  );
  const usedSlots = new Map<ModelServer, number>();
  const send = (
    request: ModelRequest,
    onEnd: (result: CallerResult) => void,
  ): boolean => {
    const { nowMs } = world.clock;
    if (request.atMs + world.options.deadlineMs <= nowMs) {
      onEnd("refused");
      return true;
    }
    const server = findFreeServer(request.group.servers, usedSlots, nowMs);
    if (server === undefined) return false;
    usedSlots.set(server, (usedSlots.get(server) ?? 0) + 1);
    const onServerEnd = () => {
      usedSlots.set(server, usedSlots.get(server)! - 1);
      sendQueued(queues.get(request.group)!);
    };
    runAtServer(world, { request, server, onEnd, onServerEnd });
    return true;
  };
  return {
    submit(request, onEnd) {
      const queue = queues.get(request.group)!;
      queue.push(() => send(request, onEnd));
      sendQueued(queue);
    },
  };
}

function sendQueued(queue: (() => boolean)[]): void {
  while (queue[0]?.() === true) queue.shift();
}

function findFreeServer(
  servers: readonly ModelServer[],
  usedSlots: ReadonlyMap<ModelServer, number>,
  nowMs: number,
): ModelServer | undefined {
  const free = servers.filter((server) =>
    server.leavingAtMs > nowMs &&
    (usedSlots.get(server) ?? 0) < SLOTS_PER_SERVER
  );
  return free.sort((left, right) =>
    (usedSlots.get(left) ?? 0) - (usedSlots.get(right) ?? 0)
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
  const end = (result: RunResult) => {
    onServerEnd?.();
    const callerResult = result === "answered" ? "answered" : "failed";
    clock.runAfter(delayMs, () => onEnd(callerResult));
  };
  clock.runAfter(delayMs, () => {
    const { serviceMs } = request;
    server.start({ serviceMs, deadlineMs, onEnd: end });
  });
}

function pickRandomServer(
  servers: readonly ModelServer[],
  random: Random,
): ModelServer {
  return servers[Math.floor(random() * servers.length)]!;
}
