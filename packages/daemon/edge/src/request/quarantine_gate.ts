/**
 * Checks the sends of one request against the quarantine of crashing requests.
 *
 * @module
 */

import type { Catalog, TrackedServer } from "@dotterelmoor/core.catalog";
import type { Placer } from "@dotterelmoor/core.placing";
import type {
  CrashQuarantine,
  QuarantineInputs,
  QuarantineVerdict,
} from "../process/crash_quarantine.ts";
import type { SendPolicy } from "./send_policy.ts";

/** Time in milliseconds after which callers may retry while the entry has not
 * loaded the quarantine from the store yet, or while a trial is pending. */
const PENDING_RETRY_MS = 500;

/** Options of `QuarantineGate`. */
export interface QuarantineGateOptions {
  readonly catalog: Catalog;
  readonly placer: Placer;
  readonly quarantine: CrashQuarantine;
}

/** The step that the quarantine allows next. */
export type GateStep =
  /** The request may go to one of these servers. */
  | {
    readonly type: "open";
    readonly servers: readonly TrackedServer[];
    readonly isTrial: boolean;
  }
  | { readonly type: "claim"; readonly server: TrackedServer }
  | {
    readonly type: "refuse";
    readonly reason: "quarantined" | "starting";
    readonly retryAfterMs: number;
    readonly inputs?: QuarantineInputs;
  };

type Verdict<Type extends QuarantineVerdict["type"]> = Extract<
  QuarantineVerdict,
  { type: Type }
>;

/** State of the trial that this request claimed. */
type Trial =
  | { readonly type: "claimed"; readonly server: TrackedServer }
  | { readonly type: "over" };

/** The quarantine's checks for one request. */
export class QuarantineGate {
  readonly #fingerprint: string;
  readonly #options: QuarantineGateOptions;
  #trial: Trial | undefined;

  constructor(fingerprint: string, options: QuarantineGateOptions) {
    this.#fingerprint = fingerprint;
    this.#options = options;
  }

  /** Checks against the current notes; a claimed trial allows one send only. */
  check(policy: SendPolicy, nowMs: number): GateStep {
    const { catalog, quarantine } = this.#options;
    const servers = catalog.findServers(policy.service, nowMs);
    if (this.#trial?.type === "claimed") {
      const { server } = this.#trial;
      this.#trial = { type: "over" };
      return { type: "open", servers: [server], isTrial: true };
    }
    if (!quarantine.isRestored) {
      return {
        type: "refuse",
        reason: "starting",
        retryAfterMs: PENDING_RETRY_MS,
      };
    }
    const verdict = this.#classify(servers);
    if (verdict.type === "admit") {
      const { software } = verdict;
      const allowed = software === undefined
        ? servers
        : servers.filter((server) => hasSoftware(server, software));
      return { type: "open", servers: allowed, isTrial: false };
    }
    if (verdict.type === "trial" && this.#trial === undefined) {
      return this.#chooseTrial(verdict, { policy, servers, nowMs });
    }
    return refuse(verdict);
  }

  /** True if a regular send, not a trial, may be written to the server now. */
  isOpen(server: TrackedServer): boolean {
    const verdict = this.#classify([server]);
    return verdict.type === "admit" &&
      (verdict.software === undefined || hasSoftware(server, verdict.software));
  }

  /** Claims a trial on a server; the next check then allows it, or refuses the
   * request if the claim failed. */
  async claim(server: TrackedServer): Promise<void> {
    const isClaimed = await this.#options.quarantine.claimTrial({
      fingerprint: this.#fingerprint,
      server: server.record,
    });
    this.#trial = isClaimed ? { type: "claimed", server } : { type: "over" };
  }

  #classify(servers: readonly TrackedServer[]): QuarantineVerdict {
    return this.#options.quarantine.check(
      this.#fingerprint,
      () => servers.map(({ record }) => record.software ?? ""),
    );
  }

  /** Chooses the least busy server, as its crash would fail the fewest other
   * requests. */
  #chooseTrial(
    verdict: Verdict<"trial">,
    { policy, servers, nowMs }: {
      readonly policy: SendPolicy;
      readonly servers: readonly TrackedServer[];
      readonly nowMs: number;
    },
  ): GateStep {
    const { allowedRegions } = policy.route;
    let least: { server: TrackedServer; busy: number } | undefined;
    for (const server of servers) {
      const isAllowed = allowedRegions.length === 0 ||
        allowedRegions.includes(server.region);
      if (!isAllowed || hasSoftware(server, verdict.triedSoftware)) continue;
      const busy = this.#options.placer.measureBusyShare([server], nowMs);
      if (least === undefined || busy < least.busy) least = { server, busy };
    }
    return least === undefined
      ? refuse(verdict)
      : { type: "claim", server: least.server };
  }
}

function hasSoftware(
  { record: { software = "" } }: TrackedServer,
  versions: ReadonlySet<string>,
): boolean {
  return versions.has(software);
}

function refuse(verdict: Verdict<"refuse"> | Verdict<"trial">): GateStep {
  const { inputs } = verdict;
  const retryAfterMs = "retryAfterMs" in verdict
    ? verdict.retryAfterMs
    : PENDING_RETRY_MS;
  return { type: "refuse", reason: "quarantined", retryAfterMs, inputs };
}
