/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * `bench -- budgets`: two regions of real boxes in virtual time spend one
 * budget to its end, with ours and with a fixed equal share that refuses at
 * once.
 */
import type {FleetOptions} from 'puffinturn-fuzz';
import {
  BUDGET,
  callerRequest,
  FIRST_PRICE,
  firstDeclarations,
  FuzzFleet,
} from 'puffinturn-fuzz';
import type {RegionSupply} from 'puffinturn-ledger';
import {invariant, Random} from 'shared';

/** Figures of one way in one situation. */
export interface BudgetRow {
  readonly situation: string;
  readonly way: string;
  readonly asked: number;
  readonly served: number;
  /** Refused for the budget although it had units left in any region. */
  readonly falseRefusals: number;
  /** Refused for the budget when nothing was left. */
  readonly rightRefusals: number;
  /** Refused for another reason. */
  readonly otherRefusals: number;
  /** Units settled above the limit; must be 0. */
  readonly overspent: number;
  /** Units of the limit that were never spent. */
  readonly unspent: number;
}

interface Situation {
  readonly name: string;
  /** Share of the demand in the region that is not the home, by progress. */
  readonly remoteShare: (progress: number) => number;
  /** Regions are apart between these shares of the run. */
  readonly apart?: readonly [number, number];
}

const LIMIT = 12_000;
const REQUESTS = 750;
const EVERY_MS = 80;
const SETTLE_MS = 20_000;
const NORTH = ['n1', 'n2', 'n3', 'n4'];
const SOUTH = ['s1', 's2', 's3'];

const SITUATIONS: readonly Situation[] = [
  {name: 'even demand', remoteShare: () => 0.5},
  {name: '90% away from home', remoteShare: () => 0.9},
  {
    name: 'shifts: 90% home, then 90% away',
    remoteShare: (progress) => (progress < 0.5 ? 0.1 : 0.9),
  },
  {
    apart: [0.3, 0.6],
    name: 'apart for a third, 70% away',
    remoteShare: () => 0.7,
  },
  {
    apart: [0.3, 1],
    name: 'apart to the end, 70% away',
    remoteShare: () => 0.7,
  },
];

/** Half goes abroad once and never moves again. */
function fixedShare(): (home: RegionSupply, other: RegionSupply) => number {
  let given = false;
  return (home, other) => {
    if (given) {
      return other.available;
    }
    given = home.available > 0;
    return Math.floor((home.available + other.available) / 2);
  };
}

/** Runs every situation with ours and with the baseline. */
export async function benchBudgets(seed: number): Promise<BudgetRow[]> {
  const rows: BudgetRow[] = [];
  for (const situation of SITUATIONS) {
    rows.push(await measure(seed, situation, 'ours', {}));
    rows.push(
      await measure(seed, situation, 'fixed equal share', {
        disableAdmissionQueue: true,
        computeGrantTarget: fixedShare(),
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

async function measure(
  seed: number,
  situation: Situation,
  way: string,
  options: FleetOptions,
): Promise<BudgetRow> {
  await using fleet = new FuzzFleet(seed, options);
  await fleet.startAll();
  for (const declaration of firstDeclarations(LIMIT)) {
    const reply = await fleet.drive(fleet.declare('n1', declaration, 'bench'));
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
  const open: Promise<void>[] = [];
  for (let at = 0; at < REQUESTS; at += 1) {
    const progress = at / REQUESTS;
    const [from = 2, until = 2] = situation.apart ?? [];
    if (progress >= from && progress < until) {
      fleet.network.partition(NORTH, SOUTH);
    } else {
      fleet.network.heal();
    }
    const remote = random.fraction() < situation.remoteShare(progress);
    const box = random.pick(remote ? SOUTH : NORTH) ?? '';
    open.push(ask(fleet, box, at, tally));
    await fleet.clock.advance(EVERY_MS);
  }
  await fleet.drive(Promise.all(open));
  fleet.network.heal();
  await fleet.clock.advance(SETTLE_MS);
  const spent = settledIn(fleet);
  return {
    asked: REQUESTS,
    ...tally,
    overspent: Math.max(0, spent - LIMIT),
    situation: situation.name,
    unspent: Math.max(0, LIMIT - spent),
    way,
  };
}

async function ask(
  fleet: FuzzFleet,
  box: string,
  at: number,
  tally: Tally,
): Promise<void> {
  const life = fleet.lives.get(box)?.box;
  const request = life && callerRequest(life.member, 'unkeyed', `r${at}`);
  if (life === undefined || request === undefined) {
    tally.otherRefusals += 1;
    return;
  }
  const handled = await life.gateway.handle(request);
  if (handled.isOk()) {
    const {response} = handled.value;
    using reader = response.createReader();
    while ((await reader.readAvailable()).length > 0);
    const whole = response.end?.kind === 'whole';
    tally.served += whole ? 1 : 0;
    tally.otherRefusals += whole ? 0 : 1;
  } else if (handled.error.kind !== 'budget_exhausted') {
    tally.otherRefusals += 1;
  } else if (LIMIT - settledIn(fleet) >= FIRST_PRICE) {
    tally.falseRefusals += 1;
  } else {
    tally.rightRefusals += 1;
  }
}

function settledIn(fleet: FuzzFleet): number {
  return ['north', 'south'].reduce(
    (sum, region) =>
      sum + (fleet.newestLedger(region)?.budgets.get(BUDGET)?.settled ?? 0),
    0,
  );
}
