/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The routers of all pools and services of one box. */
import type {
  FleetConfig,
  HeartbeatReply,
  InFlightCount,
  RequestTarget,
} from 'puffinturn-membership';
import type {Upstream} from 'puffinturn-routing';
import {
  AdaptiveConcurrencyLimit,
  ExpectedLatencyBalancer,
  FairQueue,
  HedgePolicy,
  PrefixIndex,
  RatioRetryBudget,
  Router,
} from 'puffinturn-routing';
import type {Clock, Random} from 'shared';

import {PromptTokenBound} from './PromptTokenBound';

const SERVICE_LATENCY_TARGET_MS = 2_000;

/** How long an upstream counts as leaving after its last notice, ms. */
const LEAVING_TTL_MS = 60_000;

/** An identifier of an upstream that is unique across pools. */
export function upstreamId(pool: string, upstream: string): string {
  return `${pool}/${upstream}`;
}

/** State of one pool or service on this box. */
export interface Pool {
  readonly router: Router;
  readonly retryBudget: RatioRetryBudget;
  readonly hedge: HedgePolicy;
  readonly prefixes: PrefixIndex;
  readonly promptTokenBound: PromptTokenBound;
}

/** Creates pools on demand and updates them with configuration and heartbeats. */
export class PoolRegistry {
  private readonly pools = new Map<string, Pool>();
  private config: FleetConfig | undefined;
  private liveBoxes = 1;
  /** End of the leaving period by ID of the upstream, monotonic ms. */
  private readonly leavingUntil = new Map<string, number>();
  private leavingInFleet: ReadonlySet<string> = new Set();
  private leavingInPlatform: ReadonlySet<string> = new Set();

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** Returns the pool of a target; creates it if needed. */
  getPool(target: RequestTarget): Pool {
    const existing = this.pools.get(target.name);
    if (existing !== undefined) {
      return existing;
    }
    const pool = this.createPool(target);
    this.pools.set(target.name, pool);
    pool.router.setUpstreams(target.spec.upstreams);
    this.updateLeaving();
    return pool;
  }

  /** Finds an upstream by the ID that `upstreamId` returns. */
  findUpstream(id: string): Upstream | undefined {
    for (const {router} of this.pools.values()) {
      const upstream = router.upstreams.find(
        ({name, pool}) => upstreamId(pool, name) === id,
      );
      if (upstream !== undefined) {
        return upstream;
      }
    }
    return undefined;
  }

  /** Number of requests of this box in flight, by upstream. */
  inFlightCounts(): InFlightCount[] {
    const counts: InFlightCount[] = [];
    for (const {router} of this.pools.values()) {
      for (const {inFlight: count, name: upstream, pool} of router.upstreams) {
        if (count > 0) {
          counts.push({count, pool, upstream});
        }
      }
    }
    return counts;
  }

  /** IDs of the upstreams that announced to this box that they are leaving. */
  leavingUpstreamIds(): string[] {
    const now = this.clock.now();
    for (const [id, until] of this.leavingUntil) {
      if (until <= now) {
        this.leavingUntil.delete(id);
      }
    }
    return [...this.leavingUntil.keys()];
  }

  /** Records that an upstream announced that it is leaving. */
  recordLeaving(pool: string, upstream: string): void {
    const until = this.clock.now() + LEAVING_TTL_MS;
    this.leavingUntil.set(upstreamId(pool, upstream), until);
    this.updateLeaving();
  }

  /** Sets the names of the upstreams that the platform lists as leaving. */
  setPlatformLeaving(leaving: ReadonlySet<string>): void {
    this.leavingInPlatform = leaving;
    this.updateLeaving();
  }

  /** Applies a configuration. */
  applyConfig(config: FleetConfig): void {
    if (config === this.config) {
      return;
    }
    this.config = config;
    const targets = new Map(
      config.allTargets().map((target) => [target.name, target]),
    );
    for (const [name, {router}] of this.pools) {
      router.setUpstreams(targets.get(name)?.spec.upstreams ?? []);
    }
    this.updateLeaving();
  }

  /** Applies the box count, in-flight counts and leaving upstreams of a heartbeat reply. */
  applyHeartbeatReply(reply: HeartbeatReply): void {
    this.liveBoxes = Math.max(1, reply.boxes.length);
    this.leavingInFleet = new Set(reply.leaving);
    const counts = new Map(
      reply.inFlight.map(({count, pool, upstream}) => [
        upstreamId(pool, upstream),
        count,
      ]),
    );
    for (const {router} of this.pools.values()) {
      for (const upstream of router.upstreams) {
        const id = upstreamId(upstream.pool, upstream.name);
        upstream.otherBoxesInFlight = counts.get(id) ?? 0;
      }
    }
    this.updateLeaving();
  }

  private updateLeaving(): void {
    for (const [pool, {router}] of this.pools) {
      router.markDraining((name) => {
        const id = upstreamId(pool, name);
        return (
          this.config?.isUpstreamDrained(pool, name) === true ||
          this.leavingUntil.has(id) ||
          this.leavingInFleet.has(id) ||
          this.leavingInPlatform.has(name)
        );
      });
    }
  }

  private createPool(target: RequestTarget): Pool {
    const prefixes = new PrefixIndex();
    const targetMs =
      target.kind === 'pool'
        ? target.spec.target.firstTokenMs
        : SERVICE_LATENCY_TARGET_MS;
    return {
      hedge: new HedgePolicy(),
      prefixes,
      promptTokenBound: new PromptTokenBound(),
      retryBudget: new RatioRetryBudget(),
      router: new Router({
        loadBalancer: new ExpectedLatencyBalancer(this.random, prefixes),
        clock: this.clock,
        concurrencyLimit: new AdaptiveConcurrencyLimit(
          () => this.liveBoxes,
          this.clock,
        ),
        pool: target.name,
        queue: new FairQueue(this.clock),
        targetMs,
      }),
    };
  }
}
