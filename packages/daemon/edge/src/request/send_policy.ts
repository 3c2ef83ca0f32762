/**
 * The policy for sending a request, from the latest known configuration.
 *
 * A route's regions, service and limits may change while a request waits for
 * its body, a connection or an answer. The route at the arrival may allow what
 * is forbidden by then, so the policy is read again for each send.
 *
 * @module
 */

import type {
  Catalog,
  RouteRecord,
  RoutingDocument,
  Splitter,
} from "@dotterelmoor/core.catalog";
import type { StallDetector } from "../process/stalls.ts";
import type { ForwardRequest } from "./forward_types.ts";

/** The policy for the sends of a request in one configuration. */
export interface SendPolicy {
  readonly route: RouteRecord;
  readonly service: string;
  /** Requests per second that all entries together may send to one cold
   * server. */
  readonly coldPerSecond: number;
  /** True if every configuration since the arrival allows a second run. */
  readonly repeatable: boolean;
  /** Monotonic time in milliseconds of the deadline for the answer. */
  readonly deadlineAtMs: number;
}

/** Options of `SendPolicyReader`. */
export interface SendPolicyReaderOptions {
  readonly catalog: Catalog;
  readonly splitter: Splitter;
  /** False if neither the store nor a peer has answered for so long that a
   * change of a route's regions may have been missed. */
  readonly isInContact: () => boolean;
  readonly stalls: StallDetector;
}

/** Reads the policy for the sends of one request. */
export class SendPolicyReader {
  readonly #request: ForwardRequest;
  readonly #options: SendPolicyReaderOptions;
  #document: RoutingDocument | undefined;
  #policy: SendPolicy | undefined;
  /** Kept while no route matches, as the route may be added again. */
  #service: string | undefined;
  #repeatable: boolean;
  readonly #suspendedMs: number;

  constructor(request: ForwardRequest, options: SendPolicyReaderOptions) {
    this.#request = request;
    this.#options = options;
    this.#repeatable = request.route.repeatable;
    this.#suspendedMs = options.stalls.suspendedMs();
  }

  /** The service that was chosen last; undefined if none was. */
  get service(): string | undefined {
    return this.#service;
  }

  /** Returns the current policy; undefined if no route matches the request any
   * more. */
  read(): SendPolicy | undefined {
    const { document } = this.#options.catalog;
    if (document !== this.#document) {
      this.#document = document;
      this.#policy = document && this.#build(document);
    }
    const policy = this.#policy;
    const suspendedMs = this.#options.stalls.suspendedMs() - this.#suspendedMs;
    if (policy === undefined || suspendedMs === 0) return policy;
    // The monotonic clock stops while the instance is suspended, but the
    // caller's time goes on.
    return { ...policy, deadlineAtMs: policy.deadlineAtMs - suspendedMs };
  }

  /** False if the route restricts regions and a change of them may have been
   * missed. */
  isConfirmed({ route }: SendPolicy): boolean {
    return route.allowedRegions.length === 0 || this.#options.isInContact();
  }

  /** False if the process may exit before the request's last moment, so that
   * its answer could be cut off. */
  endsInTime({ deadlineAtMs }: SendPolicy): boolean {
    return deadlineAtMs <= this.#request.exitsAtMs();
  }

  #build(document: RoutingDocument): SendPolicy | undefined {
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
      coldPerSecond: findColdPerSecond(document, service),
      repeatable: this.#repeatable,
      deadlineAtMs: Math.min(deadlineAtMs, arrivedAtMs + route.timeoutMs),
    };
  }

  /** A request keeps its service across sends, so that the weights of a traffic
   * split apply to requests and not to sends. */
  #chooseService(route: RouteRecord): string {
    const current = route.targets.find(({ service, weight }) =>
      service === this.#service && weight > 0
    );
    return current?.service ?? this.#options.splitter.choose(route);
  }
}

function findColdPerSecond(document: RoutingDocument, service: string): number {
  const found = document.services.find(({ name }) => name === service);
  return found?.coldPerSecond ?? 0;
}
