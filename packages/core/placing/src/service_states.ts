/**
 * Learned state of all services, and its exchange between entries.
 *
 * @module
 */

import { ServiceState } from "./service_state.ts";
import type { ServicePlan } from "./service_state.ts";
import type { RunTimes } from "./work_model.ts";

/** Run times that the entries of a region learned, by service. */
export type PlacingPlans = Readonly<Record<string, ServicePlan>>;

/** Run times of a service, for logs. */
export interface ServiceDescription extends RunTimes {
  readonly service: string;
}

/** States by service. */
export class ServiceStates {
  readonly #states = new Map<string, ServiceState>();
  #imported: PlacingPlans | undefined;

  get(name: string): ServiceState {
    let service = this.#states.get(name);
    if (service === undefined) {
      service = new ServiceState();
      const plan = this.#imported?.[name];
      if (plan !== undefined) service.applyPlan(plan);
      this.#states.set(name, service);
    }
    return service;
  }

  describe(nowMs: number): readonly ServiceDescription[] {
    return [...this.#states].flatMap(([service, state]) => {
      const { keepsHome } = state;
      const plan = state.describePlan(nowMs);
      return plan === undefined ? [] : [{ service, keepsHome, ...plan.all }];
    });
  }

  exportPlans(nowMs: number): PlacingPlans | undefined {
    const plans: Record<string, ServicePlan> = { ...this.#imported };
    for (const [name, service] of this.#states) {
      const plan = service.describePlan(nowMs);
      if (plan !== undefined) plans[name] = plan;
    }
    return Object.keys(plans).length === 0 ? undefined : plans;
  }

  importPlans(plans: PlacingPlans): void {
    this.#imported = plans;
    for (const [name, service] of this.#states) {
      const plan = plans[name];
      if (plan !== undefined) service.applyPlan(plan);
    }
  }
}
