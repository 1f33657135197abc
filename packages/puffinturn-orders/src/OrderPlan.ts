/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Plans which models to load and unload on the engines of a pool. */

/** Current state of an engine. */
export interface EngineState {
  readonly name: string;
  readonly hall: string;
  /** A draining engine gets no orders and its models do not count as copies. */
  readonly isDraining: boolean;
  /** Loaded models; undefined if the engine does not respond. */
  readonly models: readonly string[] | undefined;
}

/** Number of engines that should have a model loaded. */
export interface Placement {
  readonly model: string;
  readonly copies: number;
}

/** An order to send to an engine. */
export interface PlannedOrder {
  readonly upstream: string;
  readonly action: 'load' | 'unload';
  readonly model: string;
}

/** Limits on the orders of a plan. */
export interface PlanLimits {
  /** Maximum number of concurrent loads, including active ones. */
  readonly maxConcurrentLoads: number;
  /** Names of engines with a pending order. They get no further order. */
  readonly busyEngines: ReadonlySet<string>;
  /** Number of loads in progress. */
  readonly activeLoads: number;
}

/** Returns the engines that have a model loaded and are not draining. */
function enginesHolding(
  engines: readonly EngineState[],
  model: string,
): EngineState[] {
  return engines.filter(
    ({isDraining, models}) => !isDraining && models?.includes(model) === true,
  );
}

/**
 * Plans loads for models with too few copies, the model with the fewest copies
 * first and spread over halls, then unloads of surplus copies. Never unloads the
 * last copy of a model, and gives each engine at most one order.
 */
export function planOrders(
  engines: readonly EngineState[],
  placements: readonly Placement[],
  {activeLoads, busyEngines, maxConcurrentLoads}: PlanLimits,
): PlannedOrder[] {
  const busyOrPlanned = new Set(busyEngines);
  const loads: PlannedOrder[] = [];
  const missingCopies = ({copies, model}: Placement): number =>
    copies - enginesHolding(engines, model).length;
  const underReplicated = placements
    .filter((placement) => missingCopies(placement) > 0)
    .sort(
      (a, b) =>
        enginesHolding(engines, a.model).length -
        enginesHolding(engines, b.model).length,
    );
  for (const {copies, model} of underReplicated) {
    let assignedEngines = enginesHolding(engines, model);
    while (
      assignedEngines.length < copies &&
      activeLoads + loads.length < maxConcurrentLoads
    ) {
      const target = selectLoadTarget(
        engines,
        assignedEngines,
        model,
        busyOrPlanned,
      );
      if (target === undefined) {
        break;
      }
      busyOrPlanned.add(target.name);
      loads.push({action: 'load', model, upstream: target.name});
      assignedEngines = [...assignedEngines, target];
    }
  }
  return [...loads, ...planUnloads(engines, placements, busyOrPlanned)];
}

/**
 * Selects an idle engine in the hall with the fewest copies; among these, the one
 * with the fewest loaded models.
 */
function selectLoadTarget(
  engines: readonly EngineState[],
  assignedEngines: readonly EngineState[],
  model: string,
  busyOrPlanned: ReadonlySet<string>,
): EngineState | undefined {
  const copiesInHall = (hall: string): number =>
    assignedEngines.filter((engine) => engine.hall === hall).length;
  return engines
    .filter(({isDraining, models}) => !isDraining && models !== undefined)
    .filter(({models}) => models?.includes(model) !== true)
    .filter(({name}) => !busyOrPlanned.has(name))
    .sort(
      (a, b) =>
        copiesInHall(a.hall) - copiesInHall(b.hall) ||
        (a.models?.length ?? 0) - (b.models?.length ?? 0),
    )[0];
}

function planUnloads(
  engines: readonly EngineState[],
  placements: readonly Placement[],
  busyOrPlanned: Set<string>,
): PlannedOrder[] {
  const unloads: PlannedOrder[] = [];
  for (const {copies, model} of placements) {
    const modelHolders = enginesHolding(engines, model);
    const surplus = modelHolders.length - Math.max(1, copies);
    const idleHolders = modelHolders.filter(
      ({name}) => !busyOrPlanned.has(name),
    );
    for (const {name} of idleHolders.slice(0, Math.max(0, surplus))) {
      busyOrPlanned.add(name);
      unloads.push({action: 'unload', model, upstream: name});
    }
  }
  return unloads;
}
