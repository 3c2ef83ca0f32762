/**
 * By which terms a request may be sent, in the newest known configuration.
 *
 * Pattern: a route's regions, service and bounds change while requests wait for
 * their body, a connection or an answer. The route as it was at the arrival may
 * allow what is forbidden by then, so the terms are read again for each send.
 *
 * @module
 */

import type {
  Catalog,
  RouteRecord,
  RoutingDocument,
  Splitter,
} from "@dotterelmoor/core.catalog";
import type { Stalls } from "../process/stalls.ts";
import type { ForwardRequest } from "./forward_types.ts";

/** What holds for a request's sends by one configuration. */
export interface SendTerms {
  readonly route: RouteRecord;
  readonly service: string;
  /** Requests per second that all entries may send to one cold server. */
  readonly coldPerSecond: number;
  /** True if no configuration since the arrival forbids a second run. */
  readonly repeatable: boolean;
  /** Monotonic time of the final answer at the latest. */
  readonly deadlineAtMs: number;
}

/** Options of `TermsReader`. */
export interface TermsReaderOptions {
  readonly catalog: Catalog;
  readonly splitter: Splitter;
  /** False if neither the store nor an entry has answered for so long that the
   * regions of a route may have moved unseen. */
  readonly isInContact: () => boolean;
  readonly stalls: Stalls;
}

/** Reads the terms of one request. */
export class TermsReader {
  readonly #request: ForwardRequest;
  readonly #options: TermsReaderOptions;
  #document: RoutingDocument | undefined;
  #terms: SendTerms | undefined;
  /** Kept while a route is gone, which may return. */
  #service: string | undefined;
  #repeatable: boolean;
  readonly #suspendedMs: number;

  constructor(request: ForwardRequest, options: TermsReaderOptions) {
    this.#request = request;
    this.#options = options;
    this.#repeatable = request.route.repeatable;
    this.#suspendedMs = options.stalls.suspendedMs();
  }

  /** Service that was chosen last, if any was. */
  get service(): string | undefined {
    return this.#service;
  }

  /** The terms now; undefined if no route takes the request any more. */
  read(): SendTerms | undefined {
    const { document } = this.#options.catalog;
    if (document !== this.#document) {
      this.#document = document;
      this.#terms = document && this.#build(document);
    }
    const terms = this.#terms;
    const lostMs = this.#options.stalls.suspendedMs() - this.#suspendedMs;
    if (terms === undefined || lostMs === 0) return terms;
    // Callers waited on while this instance was suspended.
    return { ...terms, deadlineAtMs: terms.deadlineAtMs - lostMs };
  }

  /** Regions hold also where a change of them cannot be heard of. */
  isConfirmed({ route }: SendTerms): boolean {
    return route.allowedRegions.length === 0 || this.#options.isInContact();
  }

  #build(document: RoutingDocument): SendTerms | undefined {
    const { host, path, arrivedAtMs, deadlineAtMs } = this.#request;
    const [pathname] = path.split("?", 1);
    const route = this.#options.catalog.routes?.find(host, pathname!);
    if (route === undefined) return undefined;
    const service = this.#chooseService(route);
    this.#service = service;
    this.#repeatable &&= route.repeatable;
    return {
      route,
      service,
      coldPerSecond: findColdRate(document, service),
      repeatable: this.#repeatable,
      deadlineAtMs: Math.min(deadlineAtMs, arrivedAtMs + route.timeoutMs),
    };
  }

  /** A request stays with its service, so that shares are those of requests
   * and not of their sends. */
  #chooseService(route: RouteRecord): string {
    const kept = route.targets.find(({ service, weight }) =>
      service === this.#service && weight > 0
    );
    return kept?.service ?? this.#options.splitter.choose(route);
  }
}

function findColdRate(document: RoutingDocument, service: string): number {
  const found = document.services.find(({ name }) => name === service);
  return found?.coldPerSecond ?? 0;
}
