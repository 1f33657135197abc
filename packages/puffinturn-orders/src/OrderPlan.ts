/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Which orders an engine pool needs, from what its engines hold. */

/** One engine as the planner sees it. */
export interface EngineState {
  readonly name: string;
  readonly hall: string;
  /** Takes no new work. */
  readonly leaving: boolean;
  /** Models that it holds; undefined when it does not answer. */
  readonly models: readonly string[] | undefined;
}

/** How many engines shall hold a model. */
export interface Placement {
  readonly model: string;
  readonly copies: number;
}

/** One order that should be sent. */
export interface PlannedOrder {
  readonly upstream: string;
  readonly action: 'load' | 'unload';
  readonly model: string;
}

/** What bounds a plan. */
export interface PlanLimits {
  /** Loads that may run at once, those that run already included. */
  readonly loadsAtOnce: number;
  /** Engines with an order that is not answered. */
  readonly busy: ReadonlySet<string>;
  /** Loads that run already. */
  readonly loading: number;
}

function holders(
  engines: readonly EngineState[],
  model: string,
): EngineState[] {
  return engines.filter(
    ({leaving, models}) => !leaving && models?.includes(model) === true,
  );
}

/**
 * Loads for models with too few copies, spread over halls, scarcest model
 * first; then unloads of copies beyond what is wanted. The last holder of a
 * model is never told to unload it.
 */
export function planOrders(
  engines: readonly EngineState[],
  placements: readonly Placement[],
  {busy, loading, loadsAtOnce}: PlanLimits,
): PlannedOrder[] {
  const used = new Set(busy);
  const loads: PlannedOrder[] = [];
  const shortage = ({copies, model}: Placement): number =>
    copies - holders(engines, model).length;
  const scarce = placements
    .filter((placement) => shortage(placement) > 0)
    .sort(
      (a, b) =>
        holders(engines, a.model).length - holders(engines, b.model).length,
    );
  for (const {copies, model} of scarce) {
    let held = holders(engines, model);
    while (held.length < copies && loading + loads.length < loadsAtOnce) {
      const target = bestTarget(engines, held, model, used);
      if (target === undefined) {
        break;
      }
      used.add(target.name);
      loads.push({action: 'load', model, upstream: target.name});
      held = [...held, target];
    }
  }
  return [...loads, ...planUnloads(engines, placements, used)];
}

/** The free engine in the hall with the fewest copies, least loaded first. */
function bestTarget(
  engines: readonly EngineState[],
  held: readonly EngineState[],
  model: string,
  used: ReadonlySet<string>,
): EngineState | undefined {
  const inHall = (hall: string): number =>
    held.filter((engine) => engine.hall === hall).length;
  return engines
    .filter(({leaving, models}) => !leaving && models !== undefined)
    .filter(({models}) => models?.includes(model) !== true)
    .filter(({name}) => !used.has(name))
    .sort(
      (a, b) =>
        inHall(a.hall) - inHall(b.hall) ||
        (a.models?.length ?? 0) - (b.models?.length ?? 0),
    )[0];
}

function planUnloads(
  engines: readonly EngineState[],
  placements: readonly Placement[],
  used: Set<string>,
): PlannedOrder[] {
  const unloads: PlannedOrder[] = [];
  for (const {copies, model} of placements) {
    const held = holders(engines, model);
    const surplus = held.length - Math.max(1, copies);
    const free = held.filter(({name}) => !used.has(name));
    for (const {name} of free.slice(0, Math.max(0, surplus))) {
      used.add(name);
      unloads.push({action: 'unload', model, upstream: name});
    }
  }
  return unloads;
}
