/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Drives the real routers of several boxes against engines in virtual time,
 * for one set of decisions in one situation.
 */
import type {
  ConcurrencyLimit,
  LoadBalancer,
  RetryBudget,
  UpstreamSlot,
} from 'puffinturn-routing';
import {
  AdaptiveConcurrencyLimit,
  backoffDelayMs,
  ExpectedLatencyBalancer,
  FairQueue,
  FifoQueue,
  HedgePolicy,
  LeastInFlightBalancer,
  PrefixIndex,
  RandomBalancer,
  RatioRetryBudget,
  RoundRobinBalancer,
  Router,
  StaticConcurrencyLimit,
  UnlimitedRetryBudget,
} from 'puffinturn-routing';
import {ManualClock, Random} from 'shared';

import {Quantiles} from './Quantiles';
import type {Demand} from './RoutingWorkload';
import type {VirtualProfile} from './VirtualEngine';
import {VirtualEngine} from './VirtualEngine';

/** Which decisions are made how. */
export interface Decisions {
  readonly choice: 'expected' | 'least' | 'random' | 'round-robin';
  readonly limit: 'adaptive' | 'static';
  readonly queue: 'fair' | 'fifo';
  readonly retries: 'share' | 'unlimited';
  readonly hedges: boolean;
  readonly refusesEarly: boolean;
}

/** Ours, as the gateway makes them. */
export const OURS: Decisions = {
  choice: 'expected',
  hedges: true,
  limit: 'adaptive',
  queue: 'fair',
  refusesEarly: true,
  retries: 'share',
};

/** What happens to the engines. */
export interface Situation {
  readonly name: string;
  readonly engines: number;
  readonly profile: VirtualProfile;
  readonly deadlineMs: number;
  readonly targetMs: number;
  /** Age of load reports, ms. */
  readonly loadLagMs: number;
  /** An engine whose reports say it is idle. */
  readonly liar?: number;
  /** Changes to engines at times. */
  readonly events: readonly {
    readonly at: number;
    readonly apply: (engines: readonly VirtualEngine[]) => void;
    /** Engines that the boxes are told are leaving. */
    readonly leaving?: readonly number[];
  }[];
}

/** What came out. */
export interface Figures {
  readonly firstToken: ReturnType<Quantiles['summary']>;
  readonly betweenTokens: ReturnType<Quantiles['summary']>;
  readonly asked: number;
  readonly whole: number;
  /** Whole answers whose first token met the target. */
  readonly inTarget: number;
  readonly refused: number;
  readonly failed: number;
  /** Share of prompt blocks found in caches. */
  readonly hitShare: number;
  /** Share of tokens that no caller got. */
  readonly wastedShare: number;
  /** Worst team's share of its requests answered whole. */
  readonly worstTeam: number;
}

const NEWS_EVERY_MS = 300;
const TAIL_MS = 90_000;
const MAX_TRIES = 4;

interface Tally {
  asked: number;
  whole: number;
  inTarget: number;
  refused: number;
  failed: number;
  delivered: number;
  readonly firstToken: Quantiles;
  readonly between: Quantiles;
  readonly teams: Map<string, {asked: number; whole: number}>;
}

interface BoxState {
  readonly router: Router;
  readonly retries: RetryBudget;
  readonly hedge: HedgePolicy;
  readonly prefixes: PrefixIndex;
  readonly random: Random;
}

/** Runs one experiment. */
export class RoutingExperiment {
  private readonly clock = new ManualClock();
  private readonly engines: VirtualEngine[];
  private readonly boxes: BoxState[];
  private readonly tally: Tally = {
    asked: 0,
    between: new Quantiles(),
    delivered: 0,
    failed: 0,
    firstToken: new Quantiles(),
    inTarget: 0,
    refused: 0,
    teams: new Map(),
    whole: 0,
  };
  private over = false;

  private constructor(
    private readonly situation: Situation,
    private readonly decisions: Decisions,
    boxes: number,
    seed: number,
  ) {
    this.engines = Array.from(
      {length: situation.engines},
      () => new VirtualEngine(this.clock, situation.profile),
    );
    this.boxes = Array.from({length: boxes}, (_, at) =>
      this.makeBox(new Random(seed + at), boxes),
    );
  }

  /** Runs a workload and returns the figures. */
  static async run(
    situation: Situation,
    decisions: Decisions,
    workload: readonly Demand[],
    boxes: number,
    seed: number,
  ): Promise<Figures> {
    const run = new RoutingExperiment(situation, decisions, boxes, seed);
    const duration = workload.at(-1)?.at ?? 0;
    void run.shareNews();
    void run.reportLoads();
    for (const event of situation.events) {
      void run.clock.sleep(event.at).then(() => {
        event.apply(run.engines);
        const names = new Set(event.leaving?.map((at) => `engine-${at}`));
        if (event.leaving !== undefined) {
          run.boxes.forEach(({router}) =>
            router.markDraining((name) => names.has(name)),
          );
        }
      });
    }
    void run.feed(workload);
    await run.clock.advance(duration + TAIL_MS);
    run.over = true;
    await run.clock.advance(1_000);
    return run.figures();
  }

  private makeBox(random: Random, boxes: number): BoxState {
    const {situation} = this;
    const prefixes = new PrefixIndex();
    const router = new Router({
      loadBalancer: this.makeChoice(random, prefixes),
      clock: this.clock,
      concurrencyLimit: this.makeLimit(boxes),
      pool: 'models',
      queue:
        this.decisions.queue === 'fair'
          ? new FairQueue(this.clock)
          : new FifoQueue(),
      rejectsEarly: this.decisions.refusesEarly,
      targetMs: situation.targetMs,
    });
    router.setUpstreams(
      this.engines.map((_, at) => ({
        hall: `hall-${at % 3}`,
        name: `engine-${at}`,
        slots: situation.profile.slots,
        url: 'http://engine',
      })),
    );
    return {
      hedge: new HedgePolicy(),
      prefixes,
      random,
      retries:
        this.decisions.retries === 'share'
          ? new RatioRetryBudget()
          : new UnlimitedRetryBudget(),
      router,
    };
  }

  private makeChoice(random: Random, prefixes: PrefixIndex): LoadBalancer {
    switch (this.decisions.choice) {
      case 'expected':
        return new ExpectedLatencyBalancer(random, prefixes);
      case 'least':
        return new LeastInFlightBalancer(random);
      case 'random':
        return new RandomBalancer(random);
      case 'round-robin':
        return new RoundRobinBalancer();
    }
  }

  private makeLimit(boxes: number): ConcurrencyLimit {
    return this.decisions.limit === 'adaptive'
      ? new AdaptiveConcurrencyLimit(() => boxes, this.clock)
      : new StaticConcurrencyLimit(() => boxes);
  }

  private async feed(workload: readonly Demand[]): Promise<void> {
    for (const demand of workload) {
      await this.clock.sleep(Math.max(0, demand.at - this.clock.now()));
      void this.serve(demand);
    }
  }

  private async serve(demand: Demand): Promise<void> {
    const {tally} = this;
    const box = this.boxes[demand.box] as BoxState;
    const team = tally.teams.get(demand.team) ?? {asked: 0, whole: 0};
    tally.teams.set(demand.team, team);
    tally.asked += 1;
    team.asked += 1;
    box.retries.recordRequest();
    const started = this.clock.now();
    const deadline = started + this.situation.deadlineMs;
    const avoid = new Set<string>();
    for (let turn = 0; turn < MAX_TRIES; turn += 1) {
      const slot = await this.acquire(box, demand, deadline, avoid);
      if (slot === undefined) {
        tally.refused += 1;
        return;
      }
      const whole = await this.runHedged(box, demand, slot, avoid, started);
      if (whole) {
        tally.whole += 1;
        team.whole += 1;
        return;
      }
      if (!box.retries.tryConsume()) {
        break;
      }
      await this.clock.sleep(backoffDelayMs(turn, box.random));
    }
    tally.failed += 1;
  }

  private async acquire(
    box: BoxState,
    demand: Demand,
    deadline: number,
    triedUpstreams: ReadonlySet<string>,
  ): Promise<UpstreamSlot | undefined> {
    const acquired = await box.router.acquire({
      triedUpstreams,
      cost: demand.tokens,
      deadline,
      blockHashes: demand.prefix,
      priority: demand.priority,
      team: demand.team,
      weight: 1,
    });
    return acquired.isOk() ? acquired.value : undefined;
  }

  private async runHedged(
    box: BoxState,
    demand: Demand,
    slot: UpstreamSlot,
    avoid: Set<string>,
    started: number,
  ): Promise<boolean> {
    const first = this.runOn(box, demand, slot, avoid, started);
    if (!this.decisions.hedges) {
      return first.whole;
    }
    const slow = await Promise.race([
      first.begun.then(() => false),
      this.clock.sleep(Math.min(box.hedge.delayMs, 1e9)).then(() => true),
    ]);
    if (!slow || !box.hedge.tryConsume()) {
      return first.whole;
    }
    avoid.add(slot.upstream.name);
    const second = await this.acquire(box, demand, this.clock.now() + 1, avoid);
    if (second === undefined) {
      return first.whole;
    }
    const other = this.runOn(box, demand, second, avoid, started);
    const winner = await Promise.race([
      first.begun.then((good) => (good ? first : other)),
      other.begun.then((good) => (good ? other : first)),
    ]);
    (winner === first ? other : first).cancel();
    return winner.whole;
  }

  private runOn(
    box: BoxState,
    demand: Demand,
    slot: UpstreamSlot,
    avoid: Set<string>,
    started: number,
  ): {begun: Promise<boolean>; whole: Promise<boolean>; cancel: () => void} {
    const engine = this.engineOf(slot);
    const sentAt = this.clock.now();
    let made = 0;
    let cancelled = false;
    let cancelEngine: () => void = () => undefined;
    let begin: (good: boolean) => void = () => undefined;
    let finish: (whole: boolean) => void = () => undefined;
    const begun = new Promise<boolean>((resolve) => (begin = resolve));
    const whole = new Promise<boolean>((resolve) => (finish = resolve));
    let firstAt = 0;
    cancelEngine = engine.submit({
      onEnd: (good) => {
        slot[Symbol.dispose]();
        if (!good) {
          slot.recordFailure();
          avoid.add(slot.upstream.name);
        }
        if (good && !cancelled) {
          this.noteWhole(firstAt - started, made);
        }
        begin(good);
        finish(good);
      },
      onFirstToken: () => {
        made = 1;
        firstAt = this.clock.now();
        slot.recordFirstToken(firstAt - sentAt);
        box.hedge.recordFirstToken(firstAt - sentAt);
        box.prefixes.recordPrompt(slot.upstream.name, demand.prefix);
        begin(true);
      },
      onToken: (gap) => {
        made += 1;
        this.tally.between.add(gap);
      },
      prefix: demand.prefix,
      priority: demand.priority,
      tokens: demand.tokens,
    });
    const cancel = (): void => {
      cancelled = true;
      cancelEngine();
      slot[Symbol.dispose]();
      finish(false);
    };
    return {begun, cancel, whole};
  }

  private noteWhole(firstMs: number, tokens: number): void {
    this.tally.firstToken.add(firstMs);
    this.tally.delivered += tokens;
    if (firstMs <= this.situation.targetMs) {
      this.tally.inTarget += 1;
    }
  }

  private engineOf(slot: UpstreamSlot): VirtualEngine {
    const at = Number(slot.upstream.name.slice('engine-'.length));
    return this.engines[at] as VirtualEngine;
  }

  /** What heartbeats do: boxes learn what the others have in flight. */
  private async shareNews(): Promise<void> {
    while (!this.over) {
      await this.clock.sleep(NEWS_EVERY_MS);
      this.engines.forEach((_, at) => {
        const counts = this.boxes.map(
          ({router}) => router.upstreams[at]?.inFlight ?? 0,
        );
        const sum = counts.reduce((total, count) => total + count, 0);
        this.boxes.forEach(({router}, box) => {
          const upstream = router.upstreams[at];
          if (upstream !== undefined) {
            upstream.otherBoxesInFlight = sum - (counts[box] ?? 0);
          }
        });
      });
      this.boxes.forEach(({router}) => router.dispatchQueued());
    }
  }

  /** Engines' own reports, late, and one may lie. */
  private async reportLoads(): Promise<void> {
    const {liar, loadLagMs} = this.situation;
    while (!this.over) {
      const loads = this.engines.map((engine, at) =>
        at === liar ? {running: 0, waiting: 0} : {...engine.load},
      );
      void this.clock.sleep(loadLagMs).then(() => {
        for (const {router} of this.boxes) {
          router.upstreams.forEach((upstream, at) => {
            const load = loads[at];
            if (load !== undefined) {
              upstream.recordLoadReport({
                ...load,
                receivedAt: this.clock.now(),
              });
            }
          });
        }
      });
      await this.clock.sleep(500);
    }
  }

  private figures(): Figures {
    const {tally} = this;
    const tokens = this.engines.reduce((sum, engine) => sum + engine.tokens, 0);
    const cached = this.engines.reduce((sum, one) => sum + one.cachedBlocks, 0);
    const blocks = this.engines.reduce((sum, one) => sum + one.blocks, 0);
    const shares = [...tally.teams.values()].map(
      ({asked, whole}) => whole / asked,
    );
    return {
      asked: tally.asked,
      betweenTokens: tally.between.summary(),
      failed: tally.failed,
      firstToken: tally.firstToken.summary(),
      hitShare: cached / Math.max(1, blocks),
      inTarget: tally.inTarget,
      refused: tally.refused,
      wastedShare: 1 - tally.delivered / Math.max(1, tokens),
      whole: tally.whole,
      worstTeam: Math.min(...shares),
    };
  }
}
