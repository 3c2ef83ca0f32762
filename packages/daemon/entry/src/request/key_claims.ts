/**
 * Claims idempotency keys of requests. A key is either issued by an entry,
 * which deduplicates it in memory, or chosen by the caller and claimed in the
 * table.
 *
 * @module
 */

import type { IssuedKeys } from "@dotterelmoor/core.claiming";
import type { MemberRecord } from "@dotterelmoor/core.membership";
import type { Outcome } from "@dotterelmoor/core.types";
import type { PeerPool } from "@dotterelmoor/network.peering";
import type {
  ClaimResult,
  ClaimsComponent,
} from "../process/claims_component.ts";
import type { LinkComponent } from "../process/link_component.ts";
import type { CallerRequest, KeyClaim } from "./front.ts";
import { computeFrameBytes, LINK_WAIT_MS } from "./link_limits.ts";

/** Options of `createKeyClaimer`. */
export interface KeyClaimerOptions {
  readonly processId: string;
  readonly nowMs: () => number;
  readonly issuedKeys: IssuedKeys;
  readonly claims: ClaimsComponent;
  readonly peers: PeerPool;
  readonly region: string;
  readonly links: LinkComponent;
  /** Finds a live or leaving member by its process id. */
  readonly findProcess: (processId: string) => MemberRecord | undefined;
}

/** Claims the key of a request; must settle before the request is sent. */
export type KeyClaimer = (
  request: CallerRequest,
  key: string,
  details: { readonly fingerprint: string; readonly expiresAtMs: number },
) => Promise<KeyClaim>;

const KEY_ALREADY_CLAIMED: ClaimResult = {
  type: "unknown",
  reason: "key-already-claimed",
};

/** Creates the claimer of this process. */
export function createKeyClaimer(options: KeyClaimerOptions): KeyClaimer {
  let nextClaim = 0;

  function claimIssuedKey(key: string): KeyClaim {
    const use = options.issuedKeys.use(key, options.nowMs());
    const result: ClaimResult = use === "used-once"
      ? { type: "claimed" }
      : KEY_ALREADY_CLAIMED;
    return makeClaim(result, {
      release: () => options.issuedKeys.release(key),
    });
  }

  async function submitToIssuer(
    request: CallerRequest,
    processId: string,
    expiresAtMs: number,
  ): Promise<KeyClaim> {
    const issuer = options.findProcess(processId);
    // Only the issuer knows whether the key was used: the request may have run.
    if (issuer === undefined) return makeClaim(KEY_ALREADY_CLAIMED);
    if (!await takeLinkBytes(request, issuer.region)) {
      return makeClaim({ type: "not-run", reason: "link-budget" });
    }
    const deadlineMs = expiresAtMs - options.nowMs();
    const result = await options.peers.call(
      issuer.peerAddress,
      { type: "submit", ...request, deadlineMs },
      { timeoutMs: deadlineMs, processId },
    );
    const outcome: Outcome = result.type === "answered" &&
        result.message.type === "exec_result"
      ? result.message.outcome
      : { type: "unknown", reason: "peer-lost" };
    return makeClaim({ type: "forwarded", outcome });
  }

  function takeLinkBytes(request: CallerRequest, to: string): Promise<boolean> {
    if (to === options.region) return Promise.resolve(true);
    return options.links.takeBytes({
      to,
      service: request.service,
      bytes: computeFrameBytes(request),
      untilMs: options.nowMs() + LINK_WAIT_MS,
    });
  }

  async function claimInTable(
    request: CallerRequest,
    key: string,
    details: { readonly fingerprint: string; readonly expiresAtMs: number },
  ): Promise<KeyClaim> {
    const requestId = `${options.processId}-${nextClaim++}`;
    const result = await options.claims.claim({
      requestId,
      service: request.service,
      key,
      ...details,
    });
    return makeClaim(result, {
      release: () => options.claims.release(requestId),
      finish: () => options.claims.finish(requestId),
    });
  }

  return (request, key, details) => {
    const issued = options.issuedKeys.parse(key);
    if (issued === undefined) return claimInTable(request, key, details);
    if (issued.processId === options.processId) {
      return Promise.resolve(claimIssuedKey(key));
    }
    return submitToIssuer(request, issued.processId, details.expiresAtMs);
  };
}

function makeClaim(
  result: KeyClaim["result"],
  handlers: Partial<Pick<KeyClaim, "release" | "finish">> = {},
): KeyClaim {
  return {
    result,
    release: handlers.release ?? (() => {}),
    finish: handlers.finish ?? (() => {}),
  };
}
