/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Runs the routers of several boxes against simulated engines in virtual time,
 * with one routing strategy in one situation.
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

import {LatencyHistogram} from './LatencyHistogram';
import type {WorkloadRequest} from './RoutingWorkload';
import type {EngineProfile} from './SimulatedEngine';
import {SimulatedEngine} from './SimulatedEngine';

/** The load balancing, queueing and retry algorithms under test. */
export interface RoutingStrategy {
  readonly balancer:
    'expected-latency' | 'least-in-flight' | 'random' | 'round-robin';
  readonly concurrencyLimit: 'adaptive' | 'static';
  readonly queue: 'fair' | 'fifo';
  readonly retryBudget: 'ratio' | 'unlimited';
  readonly hedgingEnabled: boolean;
  readonly rejectsEarly: boolean;
}

/** The strategy that the gateway uses. */
export const DEFAULT_STRATEGY: RoutingStrategy = {
  balancer: 'expected-latency',
  hedgingEnabled: true,
  concurrencyLimit: 'adaptive',
  queue: 'fair',
  rejectsEarly: true,
  retryBudget: 'ratio',
};

/** The engines, and the faults injected into them. */
export interface Situation {
  readonly name: string;
  readonly engineCount: number;
  readonly profile: EngineProfile;
  readonly deadlineMs: number;
  readonly firstTokenTargetMs: number;
  /** Delay before the boxes receive a load report, ms. */
  readonly loadReportDelayMs: number;
  /** Index of an engine that always reports no load. */
  readonly misreportingEngine?: number;
  /** Changes to the engines, each at a given time. */
  readonly events: readonly {
    readonly atMs: number;
    readonly apply: (engines: readonly SimulatedEngine[]) => void;
    /** Indexes of the engines that the boxes mark as draining. */
    readonly drainingEngines?: readonly number[];
  }[];
}

/** Results of one experiment. Latencies are in ms. */
export interface RoutingResult {
  readonly firstToken: ReturnType<LatencyHistogram['summary']>;
  readonly betweenTokens: ReturnType<LatencyHistogram['summary']>;
  /** Requests of the workload. */
  readonly asked: number;
  /** Completed responses. */
  readonly whole: number;
  /** Completed responses whose first token met the latency target. */
  readonly inTarget: number;
  /** Requests that got no slot on an engine. */
  readonly refused: number;
  readonly failed: number;
  /** Share of prompt blocks found in the prefix caches. */
  readonly hitShare: number;
  /** Share of generated tokens that were not delivered to a caller. */
  readonly wastedShare: number;
  /** Lowest share of completed requests of any team. */
  readonly worstTeam: number;
}

const IN_FLIGHT_EXCHANGE_INTERVAL_MS = 300;
/** Time for open requests to complete after the last arrival. */
const COMPLETION_TIMEOUT_MS = 90_000;
const MAX_ATTEMPTS = 4;

interface Tally {
  asked: number;
  whole: number;
  inTarget: number;
  refused: number;
  failed: number;
  deliveredTokens: number;
  readonly firstToken: LatencyHistogram;
  readonly betweenTokens: LatencyHistogram;
  readonly teams: Map<string, {asked: number; whole: number}>;
}

interface BoxState {
  readonly router: Router;
  readonly retryBudget: RetryBudget;
  readonly hedgePolicy: HedgePolicy;
  readonly prefixIndex: PrefixIndex;
  readonly random: Random;
}

/** One run of a workload through the routers of all boxes. */
export class RoutingExperiment {
  private readonly clock = new ManualClock();
  private readonly engines: SimulatedEngine[];
  private readonly boxes: BoxState[];
  private readonly tally: Tally = {
    asked: 0,
    betweenTokens: new LatencyHistogram(),
    deliveredTokens: 0,
    failed: 0,
    firstToken: new LatencyHistogram(),
    inTarget: 0,
    refused: 0,
    teams: new Map(),
    whole: 0,
  };
  private isFinished = false;

  private constructor(
    private readonly situation: Situation,
    private readonly strategy: RoutingStrategy,
    boxCount: number,
    seed: number,
  ) {
    this.engines = Array.from(
      {length: situation.engineCount},
      () => new SimulatedEngine(this.clock, situation.profile),
    );
    this.boxes = Array.from({length: boxCount}, (_, index) =>
      this.createBox(new Random(seed + index), boxCount),
    );
  }

  /** Runs a workload to its end and returns the results. */
  static async run(
    situation: Situation,
    strategy: RoutingStrategy,
    workload: readonly WorkloadRequest[],
    boxCount: number,
    seed: number,
  ): Promise<RoutingResult> {
    const experiment = new RoutingExperiment(
      situation,
      strategy,
      boxCount,
      seed,
    );
    const durationMs = workload.at(-1)?.arrivalMs ?? 0;
    void experiment.exchangeInFlightCounts();
    void experiment.publishLoadReports();
    for (const event of situation.events) {
      void experiment.clock.sleep(event.atMs).then(() => {
        event.apply(experiment.engines);
        const draining = new Set(
          event.drainingEngines?.map((index) => `engine-${index}`),
        );
        if (event.drainingEngines !== undefined) {
          experiment.boxes.forEach(({router}) =>
            router.markDraining((name) => draining.has(name)),
          );
        }
      });
    }
    void experiment.submitWorkload(workload);
    await experiment.clock.advance(durationMs + COMPLETION_TIMEOUT_MS);
    experiment.isFinished = true;
    await experiment.clock.advance(1_000);
    return experiment.collectResult();
  }

  private createBox(random: Random, boxCount: number): BoxState {
    const {situation} = this;
    const prefixIndex = new PrefixIndex();
    const router = new Router({
      loadBalancer: this.createLoadBalancer(random, prefixIndex),
      clock: this.clock,
      concurrencyLimit: this.createConcurrencyLimit(boxCount),
      pool: 'models',
      queue:
        this.strategy.queue === 'fair'
          ? new FairQueue(this.clock)
          : new FifoQueue(),
      rejectsEarly: this.strategy.rejectsEarly,
      targetMs: situation.firstTokenTargetMs,
    });
    router.setUpstreams(
      this.engines.map((_, index) => ({
        hall: `hall-${index % 3}`,
        name: `engine-${index}`,
        slots: situation.profile.slots,
        url: 'http://engine',
      })),
    );
    return {
      hedgePolicy: new HedgePolicy(),
      prefixIndex,
      random,
      retryBudget:
        this.strategy.retryBudget === 'ratio'
          ? new RatioRetryBudget()
          : new UnlimitedRetryBudget(),
      router,
    };
  }

  private createLoadBalancer(
    random: Random,
    prefixIndex: PrefixIndex,
  ): LoadBalancer {
    switch (this.strategy.balancer) {
      case 'expected-latency':
        return new ExpectedLatencyBalancer(random, prefixIndex);
      case 'least-in-flight':
        return new LeastInFlightBalancer(random);
      case 'random':
        return new RandomBalancer(random);
      case 'round-robin':
        return new RoundRobinBalancer();
    }
  }

  private createConcurrencyLimit(boxCount: number): ConcurrencyLimit {
    return this.strategy.concurrencyLimit === 'adaptive'
      ? new AdaptiveConcurrencyLimit(() => boxCount, this.clock)
      : new StaticConcurrencyLimit(() => boxCount);
  }

  private async submitWorkload(
    workload: readonly WorkloadRequest[],
  ): Promise<void> {
    for (const request of workload) {
      await this.clock.sleep(Math.max(0, request.arrivalMs - this.clock.now()));
      void this.handleRequest(request);
    }
  }

  private async handleRequest(request: WorkloadRequest): Promise<void> {
    const {tally} = this;
    const box = this.boxes[request.box] as BoxState;
    const team = tally.teams.get(request.team) ?? {asked: 0, whole: 0};
    tally.teams.set(request.team, team);
    tally.asked += 1;
    team.asked += 1;
    box.retryBudget.recordRequest();
    const startedAt = this.clock.now();
    const deadline = startedAt + this.situation.deadlineMs;
    const triedUpstreams = new Set<string>();
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const slot = await this.acquire(box, request, deadline, triedUpstreams);
      if (slot === undefined) {
        tally.refused += 1;
        return;
      }
      const completed = await this.runHedged(
        box,
        request,
        slot,
        triedUpstreams,
        startedAt,
      );
      if (completed) {
        tally.whole += 1;
        team.whole += 1;
        return;
      }
      if (!box.retryBudget.tryConsume()) {
        break;
      }
      await this.clock.sleep(backoffDelayMs(attempt, box.random));
    }
    tally.failed += 1;
  }

  private async acquire(
    box: BoxState,
    request: WorkloadRequest,
    deadline: number,
    triedUpstreams: ReadonlySet<string>,
  ): Promise<UpstreamSlot | undefined> {
    const result = await box.router.acquire({
      triedUpstreams,
      cost: request.tokens,
      deadline,
      blockHashes: request.prefix,
      priority: request.priority,
      team: request.team,
      weight: 1,
    });
    return result.isOk() ? result.value : undefined;
  }

  private async runHedged(
    box: BoxState,
    request: WorkloadRequest,
    slot: UpstreamSlot,
    triedUpstreams: Set<string>,
    startedAt: number,
  ): Promise<boolean> {
    const primary = this.startAttempt(
      box,
      request,
      slot,
      triedUpstreams,
      startedAt,
    );
    if (!this.strategy.hedgingEnabled) {
      return primary.completed;
    }
    const isSlow = await Promise.race([
      primary.firstTokenReceived.then(() => false),
      this.clock.sleep(Math.min(box.hedgePolicy.delayMs, 1e9)).then(() => true),
    ]);
    if (!isSlow || !box.hedgePolicy.tryConsume()) {
      return primary.completed;
    }
    triedUpstreams.add(slot.upstream.name);
    const hedgeSlot = await this.acquire(
      box,
      request,
      this.clock.now() + 1,
      triedUpstreams,
    );
    if (hedgeSlot === undefined) {
      return primary.completed;
    }
    const hedge = this.startAttempt(
      box,
      request,
      hedgeSlot,
      triedUpstreams,
      startedAt,
    );
    const winner = await Promise.race([
      primary.firstTokenReceived.then((ok) => (ok ? primary : hedge)),
      hedge.firstTokenReceived.then((ok) => (ok ? hedge : primary)),
    ]);
    (winner === primary ? hedge : primary).cancel();
    return winner.completed;
  }

  private startAttempt(
    box: BoxState,
    request: WorkloadRequest,
    slot: UpstreamSlot,
    triedUpstreams: Set<string>,
    startedAt: number,
  ): {
    firstTokenReceived: Promise<boolean>;
    completed: Promise<boolean>;
    cancel: () => void;
  } {
    const engine = this.engineOfSlot(slot);
    const sentAt = this.clock.now();
    let generatedTokens = 0;
    let isCancelled = false;
    let cancelEngine: () => void = () => undefined;
    let resolveFirstToken: (succeeded: boolean) => void = () => undefined;
    let resolveCompleted: (completed: boolean) => void = () => undefined;
    const firstTokenReceived = new Promise<boolean>(
      (resolve) => (resolveFirstToken = resolve),
    );
    const completed = new Promise<boolean>(
      (resolve) => (resolveCompleted = resolve),
    );
    let firstTokenAt = 0;
    cancelEngine = engine.submit({
      onEnd: (succeeded) => {
        slot[Symbol.dispose]();
        if (!succeeded) {
          slot.recordFailure();
          triedUpstreams.add(slot.upstream.name);
        }
        if (succeeded && !isCancelled) {
          this.recordCompletion(firstTokenAt - startedAt, generatedTokens);
        }
        resolveFirstToken(succeeded);
        resolveCompleted(succeeded);
      },
      onFirstToken: () => {
        generatedTokens = 1;
        firstTokenAt = this.clock.now();
        slot.recordFirstToken(firstTokenAt - sentAt);
        box.hedgePolicy.recordFirstToken(firstTokenAt - sentAt);
        box.prefixIndex.recordPrompt(slot.upstream.name, request.prefix);
        resolveFirstToken(true);
      },
      onToken: (gapMs) => {
        generatedTokens += 1;
        this.tally.betweenTokens.record(gapMs);
      },
      prefix: request.prefix,
      priority: request.priority,
      tokens: request.tokens,
    });
    const cancel = (): void => {
      isCancelled = true;
      cancelEngine();
      slot[Symbol.dispose]();
      resolveCompleted(false);
    };
    return {firstTokenReceived, cancel, completed};
  }

  private recordCompletion(firstTokenMs: number, tokens: number): void {
    this.tally.firstToken.record(firstTokenMs);
    this.tally.deliveredTokens += tokens;
    if (firstTokenMs <= this.situation.firstTokenTargetMs) {
      this.tally.inTarget += 1;
    }
  }

  private engineOfSlot(slot: UpstreamSlot): SimulatedEngine {
    const index = Number(slot.upstream.name.slice('engine-'.length));
    return this.engines[index] as SimulatedEngine;
  }

  /** Exchanges in-flight counts between boxes, as heartbeats do. */
  private async exchangeInFlightCounts(): Promise<void> {
    while (!this.isFinished) {
      await this.clock.sleep(IN_FLIGHT_EXCHANGE_INTERVAL_MS);
      this.engines.forEach((_, index) => {
        const counts = this.boxes.map(
          ({router}) => router.upstreams[index]?.inFlight ?? 0,
        );
        const sum = counts.reduce((total, count) => total + count, 0);
        this.boxes.forEach(({router}, boxIndex) => {
          const upstream = router.upstreams[index];
          if (upstream !== undefined) {
            upstream.otherBoxesInFlight = sum - (counts[boxIndex] ?? 0);
          }
        });
      });
      this.boxes.forEach(({router}) => router.dispatchQueued());
    }
  }

  /** Delivers the load reports of the engines to all boxes after a delay. */
  private async publishLoadReports(): Promise<void> {
    const {misreportingEngine, loadReportDelayMs} = this.situation;
    while (!this.isFinished) {
      const loads = this.engines.map((engine, index) =>
        index === misreportingEngine
          ? {running: 0, waiting: 0}
          : {...engine.load},
      );
      void this.clock.sleep(loadReportDelayMs).then(() => {
        for (const {router} of this.boxes) {
          router.upstreams.forEach((upstream, index) => {
            const load = loads[index];
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

  private collectResult(): RoutingResult {
    const {tally} = this;
    const tokens = this.engines.reduce(
      (sum, engine) => sum + engine.generatedTokens,
      0,
    );
    const cached = this.engines.reduce(
      (sum, engine) => sum + engine.cachedPromptBlocks,
      0,
    );
    const blocks = this.engines.reduce(
      (sum, engine) => sum + engine.promptBlocks,
      0,
    );
    const shares = [...tally.teams.values()].map(
      ({asked, whole}) => whole / asked,
    );
    return {
      asked: tally.asked,
      betweenTokens: tally.betweenTokens.summary(),
      failed: tally.failed,
      firstToken: tally.firstToken.summary(),
      hitShare: cached / Math.max(1, blocks),
      inTarget: tally.inTarget,
      refused: tally.refused,
      wastedShare: 1 - tally.deliveredTokens / Math.max(1, tokens),
      whole: tally.whole,
      worstTeam: Math.min(...shares),
    };
  }
}
