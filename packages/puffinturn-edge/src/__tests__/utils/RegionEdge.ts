/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** An edge of one region of two, with upstreams whose load a test sets. */
import {KeptDecisionLog} from 'puffinturn-decisions';
import type {Route, Service, Team} from 'puffinturn-fleet';
import {Regions, REPETITION} from 'puffinturn-fleet';
import {ManualClock, Random} from 'shared';

import type {PromptPart} from '../../callers/CallerDialect';
import {EdgeMetrics} from '../../EdgeMetrics';
import {CrossingEpisodes} from '../../regions/CrossingEpisodes';
import type {RegionCrossingParts} from '../../regions/RegionCrossing';
import {RegionCrossing} from '../../regions/RegionCrossing';
import type {Plan} from '../../requests/RequestPlan';
import {Exposures} from '../../rollouts/Exposures';
import type {EdgeUpstream} from '../../upstreams/EdgeUpstream';
import {HomeProbes} from '../../upstreams/HomeProbes';
import {ReturnTimes} from '../../upstreams/ReturnTimes';
import {ExpectedTime, ShorterWait} from '../../upstreams/UpstreamChoice';
import {UpstreamPool} from '../../upstreams/UpstreamPool';
import type {
  Lack,
  RequestSize,
  SelectionParts,
} from '../../upstreams/UpstreamSelection';
import {lackOf, selectUpstream} from '../../upstreams/UpstreamSelection';
import {upstreamOf} from './EdgeFixture';
import {PacedAdmission} from './PacedAdmission';

/** Two halls in each of two regions. */
export const TWO_REGIONS = {
  e1: 'east',
  e2: 'east',
  w1: 'west',
  w2: 'west',
} as const;

/** A plain service. */
export const PLAIN: Service = {
  engine: undefined,
  maxConnections: 9,
  name: 's',
};

/** A service of engines that copy prompts from each other. */
export const ENGINES: Service = {
  engine: {
    copyMsPerToken: 0.0004,
    memoryTokens: 1,
    slots: 4,
    tokensPerEvent: 1,
  },
  maxConnections: 9,
  name: 's',
};

const ROUTE: Route = {
  anonymous: true,
  host: 'h',
  maxAttempts: 3,
  name: 'r',
  objectiveMs: 300,
  pathPrefix: '/',
  priority: 0,
  repetition: REPETITION.repeatable,
  streams: false,
  targets: [{service: 's', weight: 1}],
  timeoutMs: 3_000,
};

const URGENT: RequestSize = {
  bodyBytes: 1_000,
  heldBack: new Set(),
  isLeastUrgent: false,
};

/** Makes the crossing of an edge; a test may put another one in its place. */
export type CrossingOf = (parts: RegionCrossingParts) => RegionCrossing;

/** What several edges of one test share, and where one of them stands. */
export interface RegionEdgeFields {
  readonly byHall: Readonly<Record<string, string>>;
  readonly clock: ManualClock;
  readonly hall: string;
  readonly random: Random;
  /** Edges of its region. */
  readonly edges: number;
  readonly crossingOf: CrossingOf;
}

/** See the module comment. It stands in hall `e1` unless said otherwise. */
export class RegionEdge {
  readonly clock: ManualClock;
  readonly random: Random;
  readonly pool: UpstreamPool;
  readonly log = new KeptDecisionLog();
  readonly crossing: RegionCrossing;
  readonly homeProbes: HomeProbes;
  readonly admission: PacedAdmission;
  /** What the newest configuration allows. */
  newest: readonly string[] | undefined;
  private readonly parts: SelectionParts;

  constructor({
    byHall = TWO_REGIONS,
    clock = new ManualClock(),
    crossingOf = (parts) => new RegionCrossing(parts),
    edges = 38,
    hall = 'e1',
    random = new Random(7),
  }: Partial<RegionEdgeFields> = {}) {
    this.clock = clock;
    this.random = random;
    const regions = new Regions(byHall);
    this.pool = new UpstreamPool(clock, this.log);
    this.crossing = crossingOf({
      clock,
      edges: () => edges,
      episodes: new CrossingEpisodes(clock, this.log),
      hall,
      regions,
    });
    this.homeProbes = new HomeProbes(clock);
    this.admission = new PacedAdmission({
      box: 'b',
      clock,
      peers: () => [],
      tolerance: {extra: 0, overage: 1},
    });
    this.parts = {
      admission: this.admission,
      crossing: this.crossing,
      engineChoice: new ExpectedTime(),
      exposures: new Exposures({
        clock,
        log: this.log,
        metrics: new EdgeMetrics(),
        pool: this.pool,
        random,
      }),
      hall,
      homeProbes: this.homeProbes,
      newestRegions: () => this.newest,
      plainChoice: new ShorterWait(random),
      pool: this.pool,
      random,
      regions,
      returnTimes: new ReturnTimes(clock, random, () => edges),
    };
  }

  /** Adds an upstream; its id says its hall. */
  add(id: string, service = 's'): EdgeUpstream {
    const hall = id.slice(0, 2);
    const address = `10.0.0.${this.pool.all().length}:80`;
    const record = upstreamOf(id, {address, hall, service, slots: 6});
    this.pool.merge([record], 'test');
    return this.upstream(id);
  }

  upstream(id: string): EdgeUpstream {
    const found = this.pool.all().find((upstream) => upstream.id === id);
    if (found === undefined) {
      throw new Error(`no upstream ${id}`);
    }
    return found;
  }

  plan(fields: Partial<Plan> = {}): Plan {
    return {
      parts: [],
      route: ROUTE,
      service: PLAIN,
      team: undefined,
      tokens: undefined,
      ...fields,
    };
  }

  enginePlan(parts: readonly PromptPart[], fields: Partial<Plan> = {}): Plan {
    return this.plan({parts, service: ENGINES, ...fields});
  }

  place(plan: Plan, tried: readonly EdgeUpstream[] = [], sending = URGENT) {
    return selectUpstream(this.parts, plan, new Set(tried), sending);
  }

  lack(plan: Plan, sending = URGENT): Lack {
    return lackOf(this.parts, plan, sending);
  }

  /** Ids of the upstreams that so many requests in a row would go to. */
  drawn(plan: Plan, count: number, sending = URGENT): ReadonlySet<string> {
    const ids = Array.from(
      {length: count},
      () => this.place(plan, [], sending)?.upstream.id ?? 'none',
    );
    return new Set(ids);
  }
}

/** A team that may be served in some regions. */
export function teamIn(allowedRegions?: readonly string[]): Team {
  return {
    allowedRegions,
    keys: ['k'],
    name: 't',
    prepaidTokens: undefined,
    priority: 0,
  };
}

/** A route that may be served in some regions. */
export function routeIn(allowedRegions?: readonly string[]): Route {
  return {...ROUTE, allowedRegions};
}
