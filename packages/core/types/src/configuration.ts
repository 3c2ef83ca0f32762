/**
 * Active configuration: the platform's document and the teams' documents.
 *
 * @module
 */

/** Priority class of a request kind; `background` is shed first. */
export type Priority = "critical" | "normal" | "background";

/** A kind of request of one service. */
export interface RequestKind {
  readonly name: string;
  readonly methods: readonly string[];
  /** Path prefix below the service; the longest matching prefix wins. */
  readonly pathPrefix: string;
  /** False if the request must run at most once. */
  readonly repeatable: boolean;
  /** Lower-case header with the idempotency key, for non-repeatable kinds. */
  readonly keyHeader?: string;
  readonly priority: Priority;
  /** Time in milliseconds after which the caller no longer waits. */
  readonly deadlineMs: number;
}

/** Limit and ramp-up of traffic that is shifted into one target group. */
export interface ShiftLimits {
  /** Requests admitted within any window. */
  readonly cap: number;
  readonly windowMs: number;
  /** Share of the cap, 0 to 1, at which the ramp-up starts. */
  readonly startShare: number;
  /** Share of the cap, 0 to 1, by which each successful window raises it. */
  readonly stepShare: number;
}

/** Configuration of one service by its team. */
export interface ServiceDocument {
  readonly name: string;
  /** Regions that may receive its traffic, in order of preference. */
  readonly regions: readonly string[];
  readonly shift: ShiftLimits;
  /** Concurrent requests allowed in each region. */
  readonly concurrency: Readonly<Record<string, number>>;
  /** Share of each link, 0 to 1, that the service may use. */
  readonly linkShare: number;
  readonly kinds: readonly RequestKind[];
  readonly retry: RetryLimits;
  /** Time in milliseconds that a leaving server gets to finish its requests. */
  readonly drainMs: number;
}

/** Limits on retries of one service in one region. */
export interface RetryLimits {
  /** Retries as a share of requests, 0 to 1. */
  readonly ratio: number;
  /** Retries allowed in each window regardless of the ratio. */
  readonly floor: number;
  readonly windowMs: number;
}

/** A document owned by one service team. */
export interface TeamDocument {
  readonly team: string;
  readonly services: readonly ServiceDocument[];
}

/** A link between two regions, in one direction. */
export interface LinkDocument {
  readonly from: string;
  readonly to: string;
  readonly bitsPerSecond: number;
}

/** A region and its availability zones. */
export interface RegionDocument {
  readonly name: string;
  readonly zones: readonly string[];
}

/** A block of caller addresses and the region nearest to it. */
export interface ClientBlock {
  /** IPv4 block such as `203.0.113.0/24`. */
  readonly block: string;
  readonly region: string;
}

/** Configuration by the platform team, which applies to all services. */
export interface PlatformDocument {
  readonly regions: readonly RegionDocument[];
  readonly links: readonly LinkDocument[];
  readonly clientBlocks: readonly ClientBlock[];
  readonly limits: PlatformLimits;
}

/** Limits that no team's document may exceed. */
export interface PlatformLimits {
  readonly maxDeadlineMs: number;
  readonly maxConcurrency: number;
  readonly maxShiftCap: number;
}

/** Immutable snapshot of all active documents at one sequence number. */
export interface ConfigurationSnapshot {
  /** Increases by one with each accepted change. */
  readonly sequence: number;
  readonly platform: PlatformDocument;
  readonly teams: Readonly<Record<string, TeamDocument>>;
  /** Instance ids of the backend servers that operators are draining. */
  readonly drains: readonly string[];
}
