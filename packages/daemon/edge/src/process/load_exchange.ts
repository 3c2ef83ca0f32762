/**
 * Shares in-flight counts and run time statistics between entries.
 *
 * An entry sees only a small part of the requests to a server, too few to
 * estimate its load and run times. One entry of each region, the aggregator,
 * sums the in-flight counts that the others of the region report, learns from
 * their run times for all of them, and pulls the sums of the other regions'
 * aggregators.
 *
 * @module
 */

import {
  createLoadAggregator,
  createLoadReader,
} from "@dotterelmoor/core.load_sharing";
import type {
  LoadAggregator,
  LoadCounts,
  LoadReader,
} from "@dotterelmoor/core.load_sharing";
import type { MemberRecord } from "@dotterelmoor/core.membership";
import type {
  Observations,
  Placer,
  TablePosition,
} from "@dotterelmoor/core.placing";
import type { DisposableStore, Random } from "@dotterelmoor/core.types";
import type {
  LoadRedirectMessage,
  LoadReportMessage,
  LoadSumsMessage,
  PeerIdentity,
  PeerMessage,
} from "@dotterelmoor/network.peering";
import type { Logger } from "pino";
import type { Assignments } from "./assignments.ts";
import { sortEntries } from "./entry_order.ts";
import { runRepeatedly } from "./intervals.ts";
import { createLoadPacker, unpackLoads } from "./load_packing.ts";
import { createAggregatorChoice } from "./aggregator_choice.ts";

/** Report interval in milliseconds for each entry of the region, with its
 * bounds: the aggregator answers about 100 reports per second. Run times on
 * today's installations are as short as 72 ms: in their simulation, sums every
 * 200 ms lower the score by 0.12 compared with sums every 100 ms. On grown
 * installations, with run times from 190 ms, they lower it by 0.02. */
const INTERVAL_PER_ENTRY_MS = 10;
const MIN_INTERVAL_MS = 50;
const MAX_INTERVAL_MS = 200;

/** Interval in milliseconds between pulls from other regions: somewhat longer
 * than a round trip. */
const REGION_INTERVAL_MS = 200;

/** Interval in milliseconds at which entries request the region's plans, which
 * change by 1 % in this time. */
const PLANS_INTERVAL_MS = 1_000;

/** Timeout of a call in milliseconds; a later answer is out of date. */
const ANSWER_TIMEOUT_MS = 300;

/** Time in milliseconds for which sums are cached: the aggregator of a large
 * region is asked every few milliseconds. */
const SUMS_CACHE_MS = 40;

/** Largest count of one server; reports encode counts as bytes. */
const MAX_COUNT = 255;

/** Largest number of object keys queued for an assigning region that does not
 * answer. A longer queue is cleared; later requests for the objects add them
 * again. */
const MAX_QUEUED_USES = 4_096;

/** The part of a placer that the exchange uses. */
export type SharingPlacer = Pick<
  Placer,
  | "addObservations"
  | "countInFlight"
  | "exportPlans"
  | "importPlans"
  | "setOtherLoads"
  | "takeObservations"
>;

/** Options of `startLoadExchange`. */
export interface LoadExchangeOptions {
  readonly processId: string;
  readonly region: string;
  /** Live entries of all regions, this one included. */
  readonly listEntries: () => readonly MemberRecord[];
  /** Calls a peer; undefined if it does not answer within `timeoutMs`. */
  readonly call: (
    peerAddress: string,
    message: LoadReportMessage,
    timeoutMs: number,
  ) => Promise<PeerMessage | undefined>;
  readonly placer: SharingPlacer;
  readonly assignments: Assignments;
  /** True once earlier assignments have been restored, or cannot be. */
  readonly isRestored: () => boolean;
  readonly random: Random;
  readonly store: DisposableStore;
  readonly log: Logger;
}

/** Exchanges loads with other entries. */
export interface LoadExchange {
  /** True if this entry is the aggregator of its region. */
  readonly isAggregator: boolean;
  /** Answers the report of a peer, with a redirect if another entry is the
   * aggregator. */
  answer(
    report: LoadReportMessage,
    peer: PeerIdentity,
  ): LoadRedirectMessage | LoadSumsMessage;
}

/** Starts exchanging loads, until the store is disposed of. */
export function startLoadExchange(options: LoadExchangeOptions): LoadExchange {
  const exchange = new Exchange(options);
  exchange.start();
  return exchange;
}

class Exchange implements LoadExchange {
  readonly #options: LoadExchangeOptions;
  readonly #board: LoadAggregator;
  readonly #choice = createAggregatorChoice();
  readonly #reader = createLoadReader();
  readonly #packer = createLoadPacker();
  /** Readers of the other regions' sums, and their aggregators' addresses. */
  readonly #regions = new Map<string, LoadReader>();
  readonly #addresses = new Map<string, string>();
  /** Keys of used objects to report to the region that assigns objects. */
  #queuedUses = new Set<string>();
  #cachedSums: { readonly all: LoadCounts; readonly atMs: number } | undefined;
  #aggregator: MemberRecord | undefined;
  #intervalMs = MAX_INTERVAL_MS;
  #plansAtMs = -Infinity;
  #regionsAtMs = -Infinity;
  #stopped = false;

  constructor(options: LoadExchangeOptions) {
    this.#options = options;
    this.#board = createLoadAggregator({ numbering: options.processId });
  }

  get isAggregator(): boolean {
    return this.#aggregator?.processId === this.#options.processId;
  }

  start(): void {
    this.#options.store.add(() => {
      this.#stopped = true;
    });
    const { random, log } = this.#options;
    const isStopped = () => this.#stopped;
    void runRepeatedly(async () => {
      await this.#step();
      // Jitter: entries that started together must not report at once.
      return this.#intervalMs * (0.9 + 0.2 * random());
    }, { isStopped, log });
  }

  answer(
    report: LoadReportMessage,
    peer: PeerIdentity,
  ): LoadRedirectMessage | LoadSumsMessage {
    const { processId, region } = this.#options;
    const aggregator = this.#aggregator;
    if (aggregator !== undefined && aggregator.processId !== processId) {
      return { type: "load_redirect", peerAddress: aggregator.peerAddress };
    }
    const nowMs = performance.now();
    const { placer, assignments } = this.#options;
    const table = assignments.changesSince(report.table);
    if (peer.region !== region) {
      assignments.addUses(peer.region, report.uses);
      const sums = this.#board.sumRegion(nowMs);
      const loads = this.#board.pack(sums, report.known);
      // Not cached: only the aggregators of other regions request these.
      const packed = createLoadPacker().pack(loads, sums);
      return { type: "load_sums", ...packed, table };
    }
    this.#board.recordReport(peer.processId, parseReport(report), nowMs);
    placer.addObservations(report, nowMs);
    this.#addUses(report.uses);
    const sums = this.#sumAll(nowMs);
    const loads = this.#board.pack(sums, report.known);
    const packed = this.#packer.pack(loads, sums);
    const plans = report.wantsPlans ? placer.exportPlans(nowMs) : undefined;
    return { type: "load_sums", ...packed, table, plans };
  }

  #addUses(keys: readonly string[]): void {
    const { assignments, region } = this.#options;
    assignments.addUses(region, keys);
    if (assignments.isAssigning) return;
    if (this.#queuedUses.size > MAX_QUEUED_USES) this.#queuedUses.clear();
    for (const key of keys) this.#queuedUses.add(key);
  }

  async #step(): Promise<void> {
    const { processId, region, listEntries, placer, assignments, isRestored } =
      this.#options;
    const entries = listEntries();
    const order = sortEntries(
      entries.filter((entry) => entry.region === region),
    );
    this.#intervalMs = computeInterval(order.length);
    const ids = order.map((entry) => entry.processId);
    const chosen = this.#choice.choose(ids, performance.now());
    this.#setAggregator(order.find((entry) => entry.processId === chosen));
    const isAggregator = chosen === processId;
    assignments.setAssigning(
      isAggregator && isRestored() && region === chooseAssigningRegion(entries),
    );
    if (this.#aggregator === undefined) return;
    if (chosen !== processId) return await this.#report(this.#aggregator);
    const nowMs = performance.now();
    const own = placer.countInFlight();
    this.#board.recordReport(processId, own, nowMs);
    placer.setOtherLoads(subtract(this.#board.sumAll(nowMs), own), nowMs);
    // The placer has recorded its own runs already.
    this.#addUses(placer.takeObservations().uses);
    if (nowMs - this.#regionsAtMs < REGION_INTERVAL_MS) return;
    this.#regionsAtMs = nowMs;
    this.#pullRegions(entries).catch((error: unknown) =>
      this.#options.log.error({ err: error }, "Regions not asked.")
    );
  }

  #setAggregator(aggregator: MemberRecord | undefined): void {
    if (aggregator?.processId === this.#aggregator?.processId) return;
    const { log, processId } = this.#options;
    this.#aggregator = aggregator;
    const isSelf = aggregator?.processId === processId;
    log.info(
      { first: aggregator?.instance, isSelf },
      "Load aggregator chosen.",
    );
  }

  async #report(target: MemberRecord): Promise<void> {
    const { placer } = this.#options;
    const own = placer.countInFlight();
    const sentAtMs = performance.now();
    const report = buildReport(own, this.#reader, {
      table: this.#options.assignments.position,
      observations: placer.takeObservations(),
      wantsPlans: sentAtMs - this.#plansAtMs >= PLANS_INTERVAL_MS,
    });
    const answer = await this.#callPeer(target.peerAddress, report);
    const nowMs = performance.now();
    if (answer === undefined) this.#choice.markFailed(target.processId, nowMs);
    if (answer?.type !== "load_sums") return;
    const sums = readSums(answer, this.#reader);
    if (sums !== undefined) placer.setOtherLoads(subtract(sums, own), nowMs);
    this.#options.assignments.apply(answer.table);
    if (answer.plans === undefined) return;
    placer.importPlans(answer.plans);
    this.#plansAtMs = nowMs;
  }

  async #pullRegions(entries: readonly MemberRecord[]): Promise<void> {
    const { region } = this.#options;
    const others = new Set(entries.map((entry) => entry.region));
    others.delete(region);
    await Promise.all(
      [...others].map((other) => this.#pullRegion(other, entries)),
    );
  }

  async #pullRegion(
    region: string,
    entries: readonly MemberRecord[],
  ): Promise<void> {
    const reader = this.#regions.get(region) ?? createLoadReader();
    this.#regions.set(region, reader);
    const members = entries.filter((entry) => entry.region === region);
    const { random } = this.#options;
    const randomAddress =
      members[Math.floor(random() * members.length)]!.peerAddress;
    const address = this.#addresses.get(region) ?? randomAddress;
    const isAssigning = region === chooseAssigningRegion(entries);
    const { assignments } = this.#options;
    const uses = isAssigning ? [...this.#queuedUses] : [];
    if (isAssigning) this.#queuedUses = new Set();
    const report = buildReport(new Map(), reader, {
      table: assignments.position,
      observations: { uses, runs: [] },
      wantsPlans: false,
    });
    const answer = await this.#callPeer(address, report);
    this.#addresses.delete(region);
    if (answer?.type === "load_redirect") {
      this.#addresses.set(region, answer.peerAddress);
    }
    if (answer?.type !== "load_sums") return;
    this.#addresses.set(region, address);
    if (isAssigning) assignments.apply(answer.table);
    const sums = readSums(answer, reader);
    if (sums === undefined) return;
    this.#board.recordRegion(region, sums, performance.now());
  }

  async #callPeer(
    peerAddress: string,
    report: LoadReportMessage,
  ): Promise<LoadRedirectMessage | LoadSumsMessage | undefined> {
    const { call } = this.#options;
    const answer = await call(peerAddress, report, ANSWER_TIMEOUT_MS);
    const isAnswer = answer?.type === "load_sums" ||
      answer?.type === "load_redirect";
    return isAnswer ? answer : undefined;
  }

  #sumAll(nowMs: number): LoadCounts {
    if (
      this.#cachedSums === undefined ||
      nowMs - this.#cachedSums.atMs > SUMS_CACHE_MS
    ) {
      this.#cachedSums = { all: this.#board.sumAll(nowMs), atMs: nowMs };
    }
    return this.#cachedSums.all;
  }
}

function readSums(
  answer: LoadSumsMessage,
  reader: LoadReader,
): LoadCounts | undefined {
  const loads = unpackLoads(answer);
  return loads === undefined ? undefined : reader.read(loads);
}

function computeInterval(entries: number): number {
  const intervalMs = INTERVAL_PER_ENTRY_MS * entries;
  return Math.max(MIN_INTERVAL_MS, Math.min(MAX_INTERVAL_MS, intervalMs));
}

function buildReport(
  own: LoadCounts,
  reader: LoadReader,
  extra: {
    readonly table: TablePosition;
    readonly observations: Observations;
    readonly wantsPlans: boolean;
  },
): LoadReportMessage {
  const { table, observations, wantsPlans } = extra;
  return {
    type: "load_report",
    known: reader.known,
    servers: [...own.keys()],
    counts: Uint8Array.from(
      own.values(),
      (count) => Math.min(MAX_COUNT, count),
    ),
    table,
    uses: observations.uses,
    runs: observations.runs,
    wantsPlans,
  };
}

/** Chooses the region whose aggregator assigns objects: the first by name, so
 * that entries that know the same regions agree. */
function chooseAssigningRegion(entries: readonly MemberRecord[]): string {
  return entries.reduce(
    (least, { region }) => region < least ? region : least,
    entries[0]?.region ?? "",
  );
}

function parseReport({ servers, counts }: LoadReportMessage): LoadCounts {
  return new Map(servers.map((server, index) => [server, counts[index] ?? 0]));
}

/** Subtracts this entry's counts from sums, as the placer adds its current ones
 * itself. */
function subtract(sums: LoadCounts, own: LoadCounts): LoadCounts {
  const others = new Map(sums);
  for (const [server, count] of own) {
    others.set(server, Math.max(0, (sums.get(server) ?? 0) - count));
  }
  return others;
}
