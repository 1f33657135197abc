/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * `bench -- budgets`: two regions use up one budget in virtual time. Compares
 * the adaptive split between regions with a fixed equal split and no queueing.
 */
import type {FleetOptions} from 'puffinturn-fuzz';
import {
  BUDGET_NAME,
  createCallerRequest,
  FuzzFleet,
  INITIAL_CALL_PRICE,
  initialDeclarations,
} from 'puffinturn-fuzz';
import type {RegionSupply} from 'puffinturn-ledger';
import {invariant, Random} from 'shared';

/** Results of one way to split the budget in one situation. */
export interface BudgetRow {
  readonly situation: string;
  readonly way: string;
  readonly asked: number;
  readonly served: number;
  /** Rejected for the budget although the unsettled units covered the price. */
  readonly falseRefusals: number;
  /** Rejected for the budget when the unsettled units did not cover the price. */
  readonly rightRefusals: number;
  /** Rejected or failed for another reason. */
  readonly otherRefusals: number;
  /** Units settled above the limit; must be 0. */
  readonly overspent: number;
  /** Units of the limit left unsettled at the end. */
  readonly unspent: number;
}

interface Situation {
  readonly name: string;
  /** Share of requests outside the home region, by progress from 0 to 1. */
  readonly remoteShare: (progress: number) => number;
  /** Start and end of a network partition, as shares of the run. */
  readonly partitionedDuring?: readonly [number, number];
}

const BUDGET_LIMIT = 12_000;
const REQUEST_COUNT = 750;
const REQUEST_INTERVAL_MS = 80;
const SETTLE_MS = 20_000;
const NORTH_BOXES = ['n1', 'n2', 'n3', 'n4'];
const SOUTH_BOXES = ['s1', 's2', 's3'];

const SITUATIONS: readonly Situation[] = [
  {name: 'even demand', remoteShare: () => 0.5},
  {name: '90% away from home', remoteShare: () => 0.9},
  {
    name: 'shifts: 90% home, then 90% away',
    remoteShare: (progress) => (progress < 0.5 ? 0.1 : 0.9),
  },
  {
    partitionedDuring: [0.3, 0.6],
    name: 'apart for a third, 70% away',
    remoteShare: () => 0.7,
  },
  {
    partitionedDuring: [0.3, 1],
    name: 'apart to the end, 70% away',
    remoteShare: () => 0.7,
  },
];

/** Grants half of the budget to the other region once. */
function createFixedSplit(): (
  home: RegionSupply,
  other: RegionSupply,
) => number {
  let hasTransferred = false;
  return (home, other) => {
    if (hasTransferred) {
      return other.available;
    }
    hasTransferred = home.available > 0;
    return Math.floor((home.available + other.available) / 2);
  };
}

/** Runs every situation with the adaptive split and with the baseline. */
export async function benchBudgets(seed: number): Promise<BudgetRow[]> {
  const rows: BudgetRow[] = [];
  for (const situation of SITUATIONS) {
    rows.push(await runSituation(seed, situation, 'ours', {}));
    rows.push(
      await runSituation(seed, situation, 'fixed equal share', {
        disableAdmissionQueue: true,
        computeGrantTarget: createFixedSplit(),
      }),
    );
  }
  return rows;
}

interface Tally {
  served: number;
  falseRefusals: number;
  rightRefusals: number;
  otherRefusals: number;
}

async function runSituation(
  seed: number,
  situation: Situation,
  way: string,
  options: FleetOptions,
): Promise<BudgetRow> {
  await using fleet = new FuzzFleet(seed, options);
  await fleet.startAll();
  for (const declaration of initialDeclarations(BUDGET_LIMIT)) {
    const reply = await fleet.advanceUntilSettled(
      fleet.declare('n1', declaration, 'bench'),
    );
    invariant(reply?.isOk(), `${declaration.name} must be accepted`);
  }
  await fleet.clock.advance(2_000);
  const random = new Random(seed);
  const tally: Tally = {
    falseRefusals: 0,
    otherRefusals: 0,
    rightRefusals: 0,
    served: 0,
  };
  const pending: Promise<void>[] = [];
  for (let index = 0; index < REQUEST_COUNT; index += 1) {
    const progress = index / REQUEST_COUNT;
    const [from = 2, until = 2] = situation.partitionedDuring ?? [];
    if (progress >= from && progress < until) {
      fleet.network.partition(NORTH_BOXES, SOUTH_BOXES);
    } else {
      fleet.network.heal();
    }
    const isRemote = random.fraction() < situation.remoteShare(progress);
    const box = random.pick(isRemote ? SOUTH_BOXES : NORTH_BOXES) ?? '';
    pending.push(sendRequest(fleet, box, index, tally));
    await fleet.clock.advance(REQUEST_INTERVAL_MS);
  }
  await fleet.advanceUntilSettled(Promise.all(pending));
  fleet.network.heal();
  await fleet.clock.advance(SETTLE_MS);
  const settled = totalSettled(fleet);
  return {
    asked: REQUEST_COUNT,
    ...tally,
    overspent: Math.max(0, settled - BUDGET_LIMIT),
    situation: situation.name,
    unspent: Math.max(0, BUDGET_LIMIT - settled),
    way,
  };
}

async function sendRequest(
  fleet: FuzzFleet,
  box: string,
  index: number,
  tally: Tally,
): Promise<void> {
  const liveBox = fleet.incarnations.get(box)?.box;
  const request =
    liveBox && createCallerRequest(liveBox.member, 'unkeyed', `r${index}`);
  if (liveBox === undefined || request === undefined) {
    tally.otherRefusals += 1;
    return;
  }
  const handled = await liveBox.gateway.handle(request);
  if (handled.isOk()) {
    const {response} = handled.value;
    using reader = response.createReader();
    while ((await reader.readAvailable()).length > 0);
    const isComplete = response.end?.kind === 'whole';
    tally.served += isComplete ? 1 : 0;
    tally.otherRefusals += isComplete ? 0 : 1;
  } else if (handled.error.kind !== 'budget_exhausted') {
    tally.otherRefusals += 1;
  } else if (BUDGET_LIMIT - totalSettled(fleet) >= INITIAL_CALL_PRICE) {
    tally.falseRefusals += 1;
  } else {
    tally.rightRefusals += 1;
  }
}

function totalSettled(fleet: FuzzFleet): number {
  return ['north', 'south'].reduce(
    (sum, region) =>
      sum +
      (fleet.mostAppliedLedger(region)?.budgets.get(BUDGET_NAME)?.settled ?? 0),
    0,
  );
}
