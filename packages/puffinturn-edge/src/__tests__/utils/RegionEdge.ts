/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {InMemoryDecisionLog} from 'puffinturn-decisions';
import type {Route, Service, Team} from 'puffinturn-fleet';
import {Regions, RETRY_POLICY} from 'puffinturn-fleet';
import {ManualClock, Random} from 'shared';

import type {PromptPart} from '../../callers/CallerProtocol';
import {EdgeMetrics} from '../../EdgeMetrics';
import {CrossRegionEpisodes} from '../../regions/CrossRegionEpisodes';
import type {RegionLinkBudgetParts} from '../../regions/RegionLinkBudget';
import {RegionLinkBudget} from '../../regions/RegionLinkBudget';
import type {RequestPlan} from '../../requests/RequestPlan';
import {ExposureController} from '../../rollouts/ExposureController';
import type {EdgeUpstream} from '../../upstreams/EdgeUpstream';
import {LowestLatency, PowerOfTwoChoices} from '../../upstreams/LoadBalancer';
import {RecoveryProbes} from '../../upstreams/RecoveryProbes';
import {RetrySchedule} from '../../upstreams/RetrySchedule';
import {UpstreamPool} from '../../upstreams/UpstreamPool';
import type {
  NoUpstreamReason,
  RequestTraits,
  SelectionParts,
} from '../../upstreams/UpstreamSelection';
import {
  explainNoUpstream,
  selectUpstream,
} from '../../upstreams/UpstreamSelection';
import {makeUpstream} from './EdgeFixture';
import {PacedAdmission} from './PacedAdmission';

/** Maps each of four halls to one of two regions. */
export const REGION_BY_HALL = {
  e1: 'east',
  e2: 'east',
  w1: 'west',
  w2: 'west',
} as const;

/** A service without model engines. */
export const PLAIN_SERVICE: Service = {
  engine: undefined,
  maxConnections: 9,
  name: 's',
};

/** A service with model engines that copy prompts from each other. */
export const ENGINE_SERVICE: Service = {
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
  repetition: RETRY_POLICY.repeatable,
  streams: false,
  targets: [{service: 's', weight: 1}],
  timeoutMs: 3_000,
};

const URGENT_REQUEST: RequestTraits = {
  bodyBytes: 1_000,
  deniedUpstreams: new Set(),
  isLeastUrgent: false,
};

/** Creates the RegionLinkBudget of an edge; tests may substitute their own. */
export type LinkBudgetFactory = (
  parts: RegionLinkBudgetParts,
) => RegionLinkBudget;

/** Options of a RegionEdge; several edges of a test may share clock and random. */
export interface RegionEdgeOptions {
  readonly regionByHall: Readonly<Record<string, string>>;
  readonly clock: ManualClock;
  readonly hall: string;
  readonly random: Random;
  /** Number of edges in the region of this edge. */
  readonly edgeCount: number;
  readonly createLinkBudget: LinkBudgetFactory;
}

/** Selects upstreams as an edge in hall `e1`, or another hall, of two regions. */
export class RegionEdge {
  readonly clock: ManualClock;
  readonly random: Random;
  readonly pool: UpstreamPool;
  readonly log = new InMemoryDecisionLog();
  readonly linkBudget: RegionLinkBudget;
  readonly recoveryProbes: RecoveryProbes;
  readonly admission: PacedAdmission;
  /** Regions allowed by the newest configuration; undefined for any. */
  newestAllowedRegions: readonly string[] | undefined;
  private readonly parts: SelectionParts;

  constructor({
    regionByHall = REGION_BY_HALL,
    clock = new ManualClock(),
    createLinkBudget = (parts) => new RegionLinkBudget(parts),
    edgeCount = 38,
    hall = 'e1',
    random = new Random(7),
  }: Partial<RegionEdgeOptions> = {}) {
    this.clock = clock;
    this.random = random;
    const regions = new Regions(regionByHall);
    this.pool = new UpstreamPool(clock, this.log);
    this.linkBudget = createLinkBudget({
      clock,
      countEdges: () => edgeCount,
      episodes: new CrossRegionEpisodes(clock, this.log),
      hall,
      regions,
    });
    this.recoveryProbes = new RecoveryProbes(clock);
    this.admission = new PacedAdmission({
      box: 'b',
      clock,
      peers: () => [],
      tolerance: {extra: 0, overage: 1},
    });
    this.parts = {
      admission: this.admission,
      linkBudget: this.linkBudget,
      engineBalancer: new LowestLatency(),
      exposureController: new ExposureController({
        clock,
        log: this.log,
        metrics: new EdgeMetrics(),
        pool: this.pool,
        random,
      }),
      hall,
      recoveryProbes: this.recoveryProbes,
      latestAllowedRegions: () => this.newestAllowedRegions,
      plainBalancer: new PowerOfTwoChoices(random),
      pool: this.pool,
      random,
      regions,
      retrySchedule: new RetrySchedule(clock, random, () => edgeCount),
    };
  }

  /** Adds an upstream in the hall named by the first two characters of its id. */
  addUpstream(id: string, service = 's'): EdgeUpstream {
    const hall = id.slice(0, 2);
    const address = `10.0.0.${this.pool.all().length}:80`;
    const record = makeUpstream(id, {address, hall, service, slots: 6});
    this.pool.merge([record], 'test');
    return this.upstream(id);
  }

  upstream(id: string): EdgeUpstream {
    const found = this.pool.all().find((upstream) => upstream.id === id);
    if (found === undefined) {
      throw new Error(`no upstream with id ${id} in the pool`);
    }
    return found;
  }

  createPlan(fields: Partial<RequestPlan> = {}): RequestPlan {
    return {
      promptParts: [],
      route: ROUTE,
      service: PLAIN_SERVICE,
      team: undefined,
      tokenCounts: undefined,
      ...fields,
    };
  }

  createEnginePlan(
    promptParts: readonly PromptPart[],
    fields: Partial<RequestPlan> = {},
  ): RequestPlan {
    return this.createPlan({promptParts, service: ENGINE_SERVICE, ...fields});
  }

  select(
    plan: RequestPlan,
    tried: readonly EdgeUpstream[] = [],
    traits = URGENT_REQUEST,
  ) {
    return selectUpstream(this.parts, plan, new Set(tried), traits);
  }

  rejection(plan: RequestPlan, traits = URGENT_REQUEST): NoUpstreamReason {
    return explainNoUpstream(this.parts, plan, traits);
  }

  /** Returns the ids selected for a number of consecutive requests. */
  selectedIds(
    plan: RequestPlan,
    count: number,
    traits = URGENT_REQUEST,
  ): ReadonlySet<string> {
    const ids = Array.from(
      {length: count},
      () => this.select(plan, [], traits)?.upstream.id ?? 'none',
    );
    return new Set(ids);
  }
}

/** Creates a team that is limited to the given regions. */
export function teamAllowedIn(allowedRegions?: readonly string[]): Team {
  return {
    allowedRegions,
    keys: ['k'],
    name: 't',
    prepaidTokens: undefined,
    priority: 0,
  };
}

/** Creates a route that is limited to the given regions. */
export function routeAllowedIn(allowedRegions?: readonly string[]): Route {
  return {...ROUTE, allowedRegions};
}
