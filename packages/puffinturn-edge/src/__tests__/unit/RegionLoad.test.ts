/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

// Guards against lost requests when engines of one region fail or the link is down, and
// against needless traffic between regions. Engines return with empty prompt caches.
import {ManualClock, Random} from 'shared';

import type {PromptPart} from '../../callers/CallerProtocol';
import {RegionLinkBudget} from '../../regions/RegionLinkBudget';
import type {EdgeUpstream} from '../../upstreams/EdgeUpstream';
import type {Placement} from '../../upstreams/LoadBalancer';
import {PromptPrefill} from '../../upstreams/PromptPrefill';
import type {LinkBudgetFactory} from '../utils/RegionEdge';
import {REGION_BY_HALL, RegionEdge} from '../utils/RegionEdge';

const HALLS = Object.keys(REGION_BY_HALL);
const EDGES_PER_HALL = 6;
const ENGINES_PER_HALL = 3;
const ARRIVALS_PER_S = 240;
const PROMPT_COUNT = 60;
const SHARED_TOKENS = 5_000;
const UNIQUE_TOKENS = 1_200;
const READ_TOKENS_PER_MS = 85;
const BODY_BYTES = 12_000;
const OBJECTIVE_MS = 500;
const CONNECT_TIMEOUT_MS = 400;
const COPY_MS_PER_TOKEN = 0.0004;
const COPY_SETUP_MS = 10;
const MAX_ATTEMPTS = 4;
const LEAST_URGENT_FRACTION = 0.33;
const STEP_MS = 2;
const FAULT_START_MS = 6_000;
const FAULT_END_MS = 12_000;
const RUN_DURATION_MS = 20_000;

/** Simulates an engine that reads prompts sequentially and caches them. */
class Engine {
  readonly cachedPrompts = new Set<string>();
  isDown = false;
  private idleAt = 0;

  constructor(readonly hall: string) {}

  /** Reads a prompt; returns the time to first token, ms. */
  read(now: number, promptId: string, copiedTokens: number): number {
    const isCached = this.cachedPrompts.has(promptId);
    const sharedTokens = isCached ? 0 : SHARED_TOKENS - copiedTokens;
    const copyMs =
      copiedTokens === 0 ? 0 : COPY_SETUP_MS + copiedTokens * COPY_MS_PER_TOKEN;
    const startsAt = Math.max(now, this.idleAt);
    this.cachedPrompts.add(promptId);
    this.idleAt =
      startsAt + copyMs + (sharedTokens + UNIQUE_TOKENS) / READ_TOKENS_PER_MS;
    return this.idleAt - now;
  }
}

interface Tally {
  onTime: number;
  late: number;
  rejected: number;
  crossRegion: number;
}

/** Results of the requests of one period, by urgency. */
interface Period {
  readonly urgent: Tally;
  readonly leastUrgent: Tally;
  bytes: number;
}

interface Outcome {
  readonly before: Period;
  readonly during: Period;
  /** Starts 2 s after the fault ends. */
  readonly after: Period;
  /** Prompts read without a cached or copied prefix, in both regions. */
  readonly fullPrefills: number;
  readonly crossRegionCopies: number;
}

function emptyTally(): Tally {
  return {crossRegion: 0, onTime: 0, late: 0, rejected: 0};
}

function emptyPeriod(): Period {
  return {bytes: 0, leastUrgent: emptyTally(), urgent: emptyTally()};
}

/** Fault of the link and the engines, starting at FAULT_START_MS. */
interface Fault {
  /** Number of the six western engines that stay up. */
  readonly remainingEngines: number;
  readonly isLinkDown: boolean;
}

/** Region settings and link model of the edges. */
interface RoutingMode {
  readonly regionByHall: Readonly<Record<string, string>>;
  readonly createLinkBudget?: LinkBudgetFactory;
}

/** Edges treat all halls as one region. */
const SINGLE_REGION: RoutingMode = {regionByHall: {}};

/** Makes edges use another region only if there is no local engine. */
class LastResortLinkBudget extends RegionLinkBudget {
  override estimateTransferMs(): number {
    return 1e9;
  }
}

const LAST_RESORT: RoutingMode = {
  regionByHall: REGION_BY_HALL,
  createLinkBudget: (parts) => new LastResortLinkBudget(parts),
};

const REGION_AWARE: RoutingMode = {regionByHall: REGION_BY_HALL};

/** One simulation run under a fault. */
class RegionSimulation {
  private readonly clock = new ManualClock();
  private readonly random: Random;
  private readonly engines = new Map<string, Engine>();
  private readonly edges: readonly {
    readonly edge: RegionEdge;
    readonly hall: string;
  }[];
  private readonly outcome = {
    after: emptyPeriod(),
    before: emptyPeriod(),
    crossRegionCopies: 0,
    during: emptyPeriod(),
    fullPrefills: 0,
  };

  constructor(
    mode: RoutingMode,
    private readonly fault: Fault,
    seed: number,
  ) {
    this.random = new Random(seed);
    for (const hall of HALLS) {
      for (let at = 0; at < ENGINES_PER_HALL; at += 1) {
        this.engines.set(`${hall}-${at}`, new Engine(hall));
      }
    }
    this.edges = HALLS.flatMap((hall) =>
      Array.from({length: EDGES_PER_HALL}, () => ({
        edge: this.createEdge(hall, mode),
        hall,
      })),
    );
  }

  async run(): Promise<Outcome> {
    const {clock, random} = this;
    for (let at = 0; at < RUN_DURATION_MS; at += STEP_MS) {
      if (at === FAULT_START_MS) {
        this.startFault();
      }
      if (at === FAULT_END_MS) {
        this.endFault();
      }
      // Requests arrive in pairs.
      if (random.fraction() < (ARRIVALS_PER_S * STEP_MS) / 2_000) {
        void this.sendRequest();
        void this.sendRequest();
      }
      await clock.advance(STEP_MS);
    }
    await clock.advance(5_000);
    return this.outcome;
  }

  private createEdge(
    hall: string,
    {regionByHall, createLinkBudget: createLinkBudget}: RoutingMode,
  ): RegionEdge {
    const edge = new RegionEdge({
      regionByHall,
      clock: this.clock,
      edgeCount: EDGES_PER_HALL * 2,
      hall,
      random: this.random,
      ...(createLinkBudget === undefined ? {} : {createLinkBudget}),
    });
    for (const id of this.engines.keys()) {
      edge.addUpstream(id);
    }
    return edge;
  }

  private startFault(): void {
    const west = [...this.engines.values()].filter(({hall}) => isWest(hall));
    for (const engine of west.slice(this.fault.remainingEngines)) {
      engine.isDown = true;
    }
  }

  private endFault(): void {
    for (const engine of this.engines.values()) {
      if (engine.isDown) {
        engine.isDown = false;
        engine.cachedPrompts.clear();
      }
    }
  }

  private periodAt(now: number): Period {
    if (now < FAULT_START_MS) {
      return this.outcome.before;
    }
    // Excludes the first second, in which edges detect the fault.
    if (now < FAULT_END_MS) {
      return now < FAULT_START_MS + 1_000 ? emptyPeriod() : this.outcome.during;
    }
    return now < FAULT_END_MS + 2_000 ? emptyPeriod() : this.outcome.after;
  }

  private nextPrompt(): readonly PromptPart[] {
    const {random} = this;
    const rank = Math.floor(
      random.fraction() * random.fraction() * PROMPT_COUNT,
    );
    return [
      {id: `p${rank}`, tokens: SHARED_TOKENS},
      {id: `own-${random.integer(0, 1e9)}`, tokens: UNIQUE_TOKENS},
    ];
  }

  private async sendRequest(): Promise<void> {
    const {clock, random} = this;
    const origin = random.pick(this.edges)!;
    const parts = this.nextPrompt();
    const plan = origin.edge.createEnginePlan(parts);
    const isLeastUrgent = random.fraction() < LEAST_URGENT_FRACTION;
    const startedAt = clock.now();
    const period = this.periodAt(startedAt);
    const tally = isLeastUrgent ? period.leastUrgent : period.urgent;
    const size = {
      bodyBytes: BODY_BYTES,
      deniedUpstreams: new Set<EdgeUpstream>(),
      isLeastUrgent,
    };
    const tried: EdgeUpstream[] = [];
    while (tried.length < MAX_ATTEMPTS) {
      const placement = origin.edge.select(plan, tried, size);
      if (placement === undefined) {
        break;
      }
      tried.push(placement.upstream);
      const {isFailing} = placement.upstream;
      if (isFailing) {
        origin.edge.recoveryProbes.recordProbe();
      }
      const isRemote =
        isWest(origin.hall) !== isWest(placement.upstream.record.hall);
      if (isRemote) {
        tally.crossRegion += 1;
        period.bytes += BODY_BYTES + 5_000;
      }
      if (origin.edge.linkBudget.isRemote(placement.upstream.record.hall)) {
        origin.edge.linkBudget.recordSent(plan, BODY_BYTES);
      }
      if (await this.serve(placement, parts, isRemote)) {
        if (isFailing) {
          origin.edge.recoveryProbes.recordSuccess();
        }
        const isOnTime = clock.now() - startedAt <= OBJECTIVE_MS;
        tally[isOnTime ? 'onTime' : 'late'] += 1;
        return;
      }
    }
    tally.rejected += 1;
  }

  /** Serves a request; returns false if no connection is established. */
  private async serve(
    placement: Placement,
    parts: readonly PromptPart[],
    isRemote: boolean,
  ): Promise<boolean> {
    const {clock, outcome} = this;
    const {copiedTokens, prefixSource, upstream} = placement;
    const engine = this.engines.get(upstream.id)!;
    const isUnreachable =
      isRemote && this.fault.isLinkDown && isFaultActive(clock.now());
    upstream.inFlight += 1;
    if (engine.isDown || isUnreachable) {
      await clock.sleep(CONNECT_TIMEOUT_MS);
      upstream.inFlight -= 1;
      upstream.recordConnectFailure();
      return false;
    }
    const [shared] = parts;
    const promptId = shared!.id;
    if (!engine.cachedPrompts.has(promptId) && copiedTokens === 0) {
      outcome.fullPrefills += 1;
    }
    const source = prefixSource?.record.hall;
    if (source !== undefined && isWest(source) !== isWest(engine.hall)) {
      outcome.crossRegionCopies += 1;
    }
    const prefill = new PromptPrefill(clock, placement, parts);
    await clock.sleep(isRemote ? 12 : 1);
    await clock.sleep(engine.read(clock.now(), promptId, copiedTokens));
    await clock.sleep(isRemote ? 12 : 1);
    upstream.inFlight -= 1;
    prefill.finish(true);
    upstream.recordSuccess();
    return true;
  }
}

function isWest(hall: string): boolean {
  return hall.startsWith('w');
}

function isFaultActive(now: number): boolean {
  return now >= FAULT_START_MS && now < FAULT_END_MS;
}

function simulate(
  mode: RoutingMode,
  fault: Fault,
  seed: number,
): Promise<Outcome> {
  return new RegionSimulation(mode, fault, seed).run();
}

function totalRequests({onTime, late, rejected}: Tally): number {
  return onTime + late + rejected;
}

/** Fraction of requests served on time. */
function onTimeRatio(...tallies: Tally[]): number {
  const all = tallies.reduce((sum, tally) => sum + totalRequests(tally), 0);
  return tallies.reduce((sum, {onTime}) => sum + onTime, 0) / all;
}

/** Cross-region attempts per request. */
function crossRegionRatio(...tallies: Tally[]): number {
  const all = tallies.reduce((sum, tally) => sum + totalRequests(tally), 0);
  return tallies.reduce((sum, {crossRegion}) => sum + crossRegion, 0) / all;
}

function ratiosOf({leastUrgent, urgent}: Period) {
  return {
    crossRegion: crossRegionRatio(urgent, leastUrgent),
    leastUrgentOnTime: onTimeRatio(leastUrgent),
    onTime: onTimeRatio(urgent, leastUrgent),
    urgentOnTime: onTimeRatio(urgent),
  };
}

const NO_FAULT: Fault = {remainingEngines: 6, isLinkDown: false};
const LINK_DOWN: Fault = {remainingEngines: 6, isLinkDown: true};
const ALL_DOWN: Fault = {remainingEngines: 0, isLinkDown: false};
const ONE_ENGINE_LEFT: Fault = {remainingEngines: 1, isLinkDown: false};
const TWO_ENGINES_LEFT: Fault = {remainingEngines: 2, isLinkDown: false};
const SEEDS = [1, 2, 3];

/** Half of the link bandwidth plus bursts of the edges, kB/s. */
const MAX_KB_PER_S = 2_500 + 1_000;

function kilobytesPerSecond({bytes}: Period, ms: number): number {
  return bytes / ms;
}

describe('Two regions under load', () => {
  test.each(SEEDS)(
    'serve their own requests without faults (seed %i)',
    async (seed) => {
      const {after, before, crossRegionCopies, during, fullPrefills} =
        await simulate(REGION_AWARE, NO_FAULT, seed);
      for (const period of [before, during, after]) {
        expect(ratiosOf(period).crossRegion).toBeLessThan(0.01);
        expect(ratiosOf(period).onTime).toBeGreaterThan(0.99);
      }
      expect(crossRegionCopies).toBe(0);
      // Each prompt is read once per region, not once per engine.
      expect(fullPrefills).toBeLessThan(2.1 * PROMPT_COUNT);
    },
  );

  test.each(SEEDS)(
    'are not affected by a link failure (seed %i)',
    async (seed) => {
      const regionAware = ratiosOf(
        (await simulate(REGION_AWARE, LINK_DOWN, seed)).during,
      );
      const singleRegion = ratiosOf(
        (await simulate(SINGLE_REGION, LINK_DOWN, seed)).during,
      );
      expect(regionAware.onTime).toBeGreaterThan(0.99);
      expect(regionAware.onTime).toBeGreaterThan(singleRegion.onTime);
    },
  );

  test.each(SEEDS)(
    'serve requests of a region that is down (seed %i)',
    async (seed) => {
      const {after, crossRegionCopies, during} = await simulate(
        REGION_AWARE,
        ALL_DOWN,
        seed,
      );
      const ratios = ratiosOf(during);
      expect(ratios.onTime).toBeGreaterThan(0.9);
      expect(ratios.urgentOnTime).toBeGreaterThanOrEqual(
        ratios.leastUrgentOnTime - 0.01,
      );
      expect(kilobytesPerSecond(during, 5_000)).toBeLessThan(MAX_KB_PER_S);
      expect(crossRegionCopies).toBe(0);
      // Requests return within two seconds, although caches are empty.
      expect(ratiosOf(after).crossRegion).toBeLessThan(0.02);
      expect(ratiosOf(after).onTime).toBeGreaterThan(0.99);
    },
  );

  test.each(SEEDS)(
    'share load that exceeds the capacity of one region (seed %i)',
    async (seed) => {
      for (const fault of [ONE_ENGINE_LEFT, TWO_ENGINES_LEFT]) {
        const regionAware = ratiosOf(
          (await simulate(REGION_AWARE, fault, seed)).during,
        );
        const lastResort = ratiosOf(
          (await simulate(LAST_RESORT, fault, seed)).during,
        );
        expect(regionAware.onTime).toBeGreaterThan(0.93);
        expect(regionAware.onTime).toBeGreaterThan(lastResort.onTime + 0.1);
        expect(lastResort.crossRegion).toBeLessThan(0.05);
      }
    },
  );

  test('serve local requests if the other region is down and unreachable', async () => {
    const fault: Fault = {remainingEngines: 0, isLinkDown: true};
    const {after, during} = await simulate(REGION_AWARE, fault, 1);
    // Only the eastern half can be served; few attempts use the failed link.
    expect(ratiosOf(during).onTime).toBeGreaterThan(0.45);
    expect(ratiosOf(during).crossRegion).toBeLessThan(0.35);
    expect(ratiosOf(after).onTime).toBeGreaterThan(0.99);
  });

  test('send fewer bytes over the link than edges that ignore regions', async () => {
    const regionAware = await simulate(REGION_AWARE, ONE_ENGINE_LEFT, 1);
    const singleRegion = await simulate(SINGLE_REGION, ONE_ENGINE_LEFT, 1);
    expect(regionAware.during.bytes).toBeLessThan(
      0.7 * singleRegion.during.bytes,
    );
    expect(regionAware.before.bytes).toBeLessThan(
      0.05 * singleRegion.before.bytes,
    );
    expect(singleRegion.crossRegionCopies).toBeGreaterThan(0);
  });
});
