/**
 * What an entry knows of all services, and what it passes on at a start.
 *
 * @module
 */

import type { TrackedServer } from "@dotterelmoor/core.catalog";
import { splitByRegion } from "./server_order.ts";
import { ServiceState } from "./service_state.ts";
import type { ServicePlan } from "./service_state.ts";

/** What the entries of a region learnt, by service. */
export type PlacingPlans = Readonly<Record<string, ServicePlan>>;

/** A service's plan and work, for logs. */
export interface PlanDescription {
  readonly service: string;
  readonly homeShare: number;
  readonly demandSlots: number;
}

/** States by service. */
export class ServiceStates {
  readonly #homeRegion: string;
  readonly #states = new Map<string, ServiceState>();
  #imported: PlacingPlans | undefined;

  constructor(homeRegion: string) {
    this.#homeRegion = homeRegion;
  }

  get(name: string): ServiceState {
    let service = this.#states.get(name);
    if (service === undefined) {
      service = new ServiceState(this.#homeRegion, this.#imported?.[name]);
      this.#states.set(name, service);
    }
    return service;
  }

  names(): string[] {
    return [...this.#states.keys()];
  }

  /** Updates a plan by the slots of the regions. */
  update(
    service: ServiceState,
    options: {
      readonly servers: readonly TrackedServer[];
      readonly entries: number;
      readonly nowMs: number;
    },
  ): void {
    const { servers, entries, nowMs } = options;
    const rooms = [...splitByRegion(servers)].map(([region, group]) => ({
      region,
      slots: group.reduce((sum, { record }) => sum + record.slots, 0),
    }));
    service.update({ rooms, entries, nowMs });
  }

  describe(): readonly PlanDescription[] {
    return [...this.#states].map(([service, state]) => ({
      service,
      homeShare: state.plan.homeShare,
      demandSlots: state.demandSlots,
    }));
  }

  exportPlans(nowMs: number): PlacingPlans | undefined {
    const plans: Record<string, ServicePlan> = { ...this.#imported };
    for (const [name, service] of this.#states) {
      const learnt = service.describeLearnt(nowMs);
      if (learnt !== undefined) plans[name] = learnt;
    }
    return Object.keys(plans).length === 0 ? undefined : plans;
  }

  importPlans(plans: PlacingPlans): void {
    this.#imported = plans;
    for (const [name, service] of this.#states) {
      const plan = plans[name];
      if (plan !== undefined) service.adopt(plan);
    }
  }
}
