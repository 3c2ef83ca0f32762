import test from "ava";
import fc from "fast-check";
import { createCatalog } from "./mod.ts";
import type { Catalog, ServerRecord } from "./mod.ts";
import {
  EraModel,
  REWRITTEN_MS,
  ZONE_NAMES,
  ZONES,
} from "./store_eras_fixture.ts";

const SEED = 20261207;
const ENTRIES = 4;

/** Step of a history; indexes are taken modulo the number of choices. */
type Step =
  | { readonly type: "come_back" }
  | { readonly type: "copy" }
  | { readonly type: "deliver"; readonly index: number }
  | { readonly type: "document" }
  | { readonly type: "drain"; readonly server: number }
  | {
    readonly type: "evacuate";
    readonly zone: number;
    readonly isEvacuated: boolean;
  }
  | {
    readonly type: "follow";
    readonly to: number;
    readonly from: number;
    readonly isDelayed: boolean;
  }
  | { readonly type: "leave"; readonly server: number }
  | {
    readonly type: "read";
    readonly to: number;
    readonly isDelayed: boolean;
  }
  | { readonly type: "report"; readonly server: number }
  | { readonly type: "rewrite" }
  | { readonly type: "wait"; readonly ms: number };

const HANDLERS: {
  readonly [Type in Step["type"]]: (
    model: EraModel,
    step: Extract<Step, { type: Type }>,
  ) => void;
} = {
  come_back: (model) => model.comeBack(),
  copy: (model) => model.store.copy(),
  deliver: (model, { index }) => model.deliver(index),
  document: (model) => model.writeDocument(),
  drain: (model, { server }) => model.report(server, "draining"),
  evacuate: (model, { zone, isEvacuated }) =>
    model.setEvacuated(ZONE_NAMES[zone % ZONE_NAMES.length]!, isEvacuated),
  follow: (model, { to, from, isDelayed }) => model.follow(to, from, isDelayed),
  leave: (model, { server }) => model.leave(server),
  read: (model, { to, isDelayed }) => {
    model.read(to, "servers", isDelayed);
    model.read(to, "orders", isDelayed);
  },
  report: (model, { server }) => model.report(server),
  rewrite: (model) => model.rewrite(),
  wait: (model, { ms }) => {
    model.nowMs += ms;
  },
};

const server = fc.nat(3);
const entry = fc.nat(ENTRIES - 1);
const rarely = fc.nat(3).map((drawn) => drawn === 3);

const ARBITRARY_STEP: fc.Arbitrary<Step> = fc.oneof(
  makeStep(2, "come_back", {}),
  makeStep(3, "copy", {}),
  makeStep(6, "deliver", { index: fc.nat(9) }),
  makeStep(2, "document", {}),
  makeStep(2, "drain", { server }),
  makeStep(2, "evacuate", { zone: fc.nat(1), isEvacuated: fc.boolean() }),
  makeStep(8, "follow", { to: entry, from: entry, isDelayed: rarely }),
  makeStep(2, "leave", { server }),
  makeStep(6, "read", { to: entry, isDelayed: rarely }),
  makeStep(6, "report", { server }),
  makeStep(2, "rewrite", {}),
  makeStep(2, "wait", { ms: fc.constantFrom(1, 700, 2_500) }),
);

function makeStep<Type extends Step["type"]>(
  weight: number,
  type: Type,
  fields: {
    readonly [Key in keyof Omit<Extract<Step, { type: Type }>, "type">]:
      fc.Arbitrary<Extract<Step, { type: Type }>[Key]>;
  },
) {
  const arbitrary = fc.record({ type: fc.constant(type), ...fields });
  return { weight, arbitrary: arbitrary as fc.Arbitrary<Step> };
}

function listFound(catalog: Catalog, nowMs: number): readonly ServerRecord[] {
  return catalog.findServers("desk", nowMs).map(({ record }) => record);
}

/** What no update may take back. */
class Promises {
  readonly #documents = new Map<Catalog, number>();
  readonly #eras = new Map<Catalog, number>();
  /** Starts of servers of which an entry knew that they were leaving. */
  readonly #leaving = new Map<Catalog, Set<string>>();

  check(model: EraModel): void {
    for (const catalog of model.catalogs) this.#check(model, catalog);
  }

  #check({ servers, nowMs }: EraModel, catalog: Catalog): void {
    const version = catalog.document?.version ?? 0;
    if (version < (this.#documents.get(catalog) ?? 0)) {
      throw new Error(`The configuration went back to ${version}`);
    }
    this.#documents.set(catalog, version);
    if (catalog.era < (this.#eras.get(catalog) ?? 0)) {
      throw new Error(`The era went back to ${catalog.era}`);
    }
    this.#eras.set(catalog, catalog.era);
    const leaving = this.#leaving.get(catalog) ?? new Set<string>();
    this.#leaving.set(catalog, leaving);
    const found = listFound(catalog, nowMs);
    for (const { id, bornMs } of found) {
      if (!leaving.has(`${id}/${bornMs}`)) continue;
      throw new Error(`${id} is used although it was known to leave`);
    }
    const whole = catalog.changesSince({ servers: -1, orders: -1 }, nowMs);
    for (const change of whole.servers.changes) {
      if (change.type !== "server") continue;
      const { id, bornMs, state } = change.record;
      if (state === "draining") leaving.add(`${id}/${bornMs}`);
      // The server itself has started again since.
      if (servers.get(id)?.bornMs !== bornMs) leaving.delete(`${id}/${bornMs}`);
    }
  }
}

/** Lets all be written again and all entries hear of it; one of them only pulls
 * from another one. */
function settle(model: EraModel): void {
  for (let index = 0; index < 200; index++) model.deliver(index);
  model.rewrite();
  model.nowMs += REWRITTEN_MS + 1_000;
  for (let round = 0; round < 2; round++) {
    for (let index = 0; index < ENTRIES - 1; index++) {
      model.read(index, "servers", false);
      model.read(index, "orders", false);
    }
    model.follow(ENTRIES - 1, 0, false);
    model.nowMs += REWRITTEN_MS + 1_000;
  }
}

function checkSettled(model: EraModel): void {
  const expected = [...model.servers.values()]
    .filter(({ state, zone }) =>
      state === "ready" && !model.evacuated.has(zone)
    )
    .map(({ id }) => id).sort();
  for (const [index, catalog] of model.catalogs.entries()) {
    const found = listFound(catalog, model.nowMs).map(({ id }) => id).sort();
    if (String(found) !== String(expected)) {
      throw new Error(`Entry ${index} has ${found} instead of ${expected}`);
    }
    if (catalog.document?.version !== model.documentVersion) {
      throw new Error(
        `Entry ${index} has document ${catalog.document?.version}`,
      );
    }
    for (const zone of ZONE_NAMES) {
      if (catalog.isEvacuated(zone) === model.evacuated.has(zone)) continue;
      throw new Error(`Entry ${index} differs in the evacuation of ${zone}`);
    }
  }
}

test("guards against entries that stay on, or go back to, a history that the store has left", (t) => {
  fc.assert(
    fc.property(
      fc.array(ARBITRARY_STEP, { minLength: 1, maxLength: 60, size: "max" }),
      (steps) => {
        const model = new EraModel(ENTRIES);
        const promises = new Promises();
        for (const step of steps) {
          const handle = HANDLERS[step.type] as (
            model: EraModel,
            step: Step,
          ) => void;
          handle(model, step);
          promises.check(model);
        }
        settle(model);
        promises.check(model);
        checkSettled(model);
      },
    ),
    { seed: SEED, numRuns: 3_000 },
  );
  t.pass();
});

/** Starts a model whose entries know two servers, and which has a copy of that
 * state. */
function startModel(): EraModel {
  const model = new EraModel(2);
  model.report(0);
  model.report(1);
  readAll(model);
  model.store.copy();
  return model;
}

function readAll(model: EraModel): void {
  for (const index of model.catalogs.keys()) {
    model.read(index, "orders", false);
    model.read(index, "servers", false);
  }
}

/** Writes until the versions are past those that the store had given out. */
function passVersions(model: EraModel): void {
  for (let index = 0; index < 20; index++) model.report(0);
}

for (const isPast of [false, true]) {
  const form = isPast ? "past the old versions" : "below the old versions";

  // A version alone does not tell that the changes behind it are others.
  test(`guards against a leaving that is missed because the store came back, ${form}`, (t) => {
    const model = startModel();
    for (let index = 0; index < 5; index++) model.report(0);
    readAll(model);
    model.comeBack();
    model.report(1, "draining");
    if (isPast) passVersions(model);
    readAll(model);
    for (const catalog of model.catalogs) {
      t.deepEqual(listFound(catalog, 0).map(({ id }) => id), ["s0"]);
    }
  });

  test(`guards against a server that is dropped because the store came back without it, ${form}`, (t) => {
    const model = startModel();
    model.report(2);
    readAll(model);
    model.comeBack();
    if (isPast) passVersions(model);
    readAll(model);
    const count = () => listFound(model.catalogs[0]!, model.nowMs).length;
    t.is(count(), 3);
    model.nowMs += 1_500;
    model.report(2);
    readAll(model);
    model.nowMs += 1_500;
    t.is(count(), 3);
  });

  test(`guards against a server that stays although it did not report again, ${form}`, (t) => {
    const model = startModel();
    model.report(2);
    readAll(model);
    model.comeBack();
    if (isPast) passVersions(model);
    readAll(model);
    model.nowMs += REWRITTEN_MS;
    for (const catalog of model.catalogs) {
      t.is(listFound(catalog, model.nowMs).length, 2);
    }
  });

  test(`guards against requests to a server whose leaving the store has lost, ${form}`, (t) => {
    const model = startModel();
    model.report(1, "draining");
    readAll(model);
    model.comeBack();
    if (isPast) passVersions(model);
    readAll(model);
    for (const catalog of model.catalogs) {
      t.deepEqual(listFound(catalog, 0).map(({ id }) => id), ["s0"]);
    }
  });

  test(`guards against an evacuation that ends because the store has lost it, ${form}`, (t) => {
    const model = startModel();
    model.setEvacuated("a-1", true);
    readAll(model);
    model.comeBack();
    if (isPast) passVersions(model);
    readAll(model);
    const [catalog] = model.catalogs;
    t.true(catalog!.isEvacuated("a-1"));
    model.nowMs += REWRITTEN_MS;
    catalog!.findServers("desk", model.nowMs);
    // Nobody wrote it again.
    t.false(catalog!.isEvacuated("a-1"));
  });
}

// Its catalog holds what the new history lacks, and the other way round.
test("guards against an entry that follows one on the history that the store has left", (t) => {
  const model = startModel();
  model.report(1, "draining");
  model.read(1, "servers", false);
  model.comeBack();
  passVersions(model);
  model.read(0, "servers", false);
  const [, old] = model.catalogs;
  const { position } = model.catalogs[0]!;
  model.follow(0, 1, false);
  t.deepEqual(model.catalogs[0]!.position, position);
  model.follow(1, 0, false);
  t.is(old!.era, 2);
  t.deepEqual(listFound(old!, 0).map(({ id }) => id), ["s0"]);
});

// It would serve by the older one until the operator writes again.
test("guards against a started entry that gets an older configuration than the others have", (t) => {
  const model = startModel();
  model.writeDocument();
  readAll(model);
  model.comeBack();
  readAll(model);
  const started = createCatalog({ zones: ZONES });
  started.applyTable("orders", model.store.readAll("orders"), 0);
  started.applyTable("servers", model.store.readAll("servers"), 0);
  t.is(started.document?.version, 1);
  const delta = model.catalogs[0]!.changesSince(started.position, 0);
  started.applyDelta(delta, 0);
  t.is(started.document?.version, 2);
});

// The operator's second one would never be in force.
test("guards against a configuration that is ignored because another one had its version", (t) => {
  const model = startModel();
  const build = (service: string) => ({
    ...model.catalogs[0]!.document!,
    version: 7,
    services: [{ name: service, maxConnections: 1, coldPerSecond: 1 }],
  });
  const [catalog] = model.catalogs;
  const write = (era: number, service: string) =>
    catalog!.applyTable("orders", {
      era,
      version: 50,
      isComplete: true,
      changes: [{ type: "document", document: build(service) }],
    }, 0);
  write(1, "lost");
  write(2, "written again");
  t.is(catalog!.document?.services[0]?.name, "written again");
});
