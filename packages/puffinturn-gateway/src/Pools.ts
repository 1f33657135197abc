/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The routers of all pools and services, kept up to date. */
import type {
  FleetConfig,
  HeartbeatReply,
  Target,
  UpstreamCount,
} from 'puffinturn-membership';
import type {Upstream} from 'puffinturn-routing';
import {
  AdaptiveLimit,
  ExpectedTimeChoice,
  FairQueue,
  Hedge,
  PrefixIndex,
  Router,
  ShareRetryBudget,
} from 'puffinturn-routing';
import type {Clock, Random} from 'shared';

import {PromptBound} from './PromptBound';

const SERVICE_TARGET_MS = 2_000;

/** An upstream that said it is leaving is tried again after this, ms. */
const LEAVING_MEMORY_MS = 60_000;

/** How upstreams are named across pools. */
export function upstreamId(pool: string, upstream: string): string {
  return `${pool}/${upstream}`;
}

/** Everything that a box keeps for one pool or service. */
export interface Pool {
  readonly router: Router;
  readonly retries: ShareRetryBudget;
  readonly hedge: Hedge;
  readonly prefixes: PrefixIndex;
  readonly promptBound: PromptBound;
}

/** See the module comment. */
export class Pools {
  private readonly pools = new Map<string, Pool>();
  private config: FleetConfig | undefined;
  private liveBoxes = 1;
  /** Upstreams that told this box that they are leaving. */
  private readonly toldLeaving = new Map<string, number>();
  private fleetLeaving: ReadonlySet<string> = new Set();
  private listedLeaving: ReadonlySet<string> = new Set();

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** The pool of a target, as its newest declaration says. */
  of(target: Target): Pool {
    const known = this.pools.get(target.name);
    if (known !== undefined) {
      return known;
    }
    const pool = this.create(target);
    this.pools.set(target.name, pool);
    pool.router.declare(target.spec.upstreams);
    this.markLeaving();
    return pool;
  }

  /** The upstream of an id as `upstreamId` makes it. */
  upstream(id: string): Upstream | undefined {
    for (const {router} of this.pools.values()) {
      const found = router.upstreams.find(
        ({name, pool}) => upstreamId(pool, name) === id,
      );
      if (found !== undefined) {
        return found;
      }
    }
    return undefined;
  }

  /** What this box has in flight. */
  inFlight(): UpstreamCount[] {
    const counts: UpstreamCount[] = [];
    for (const {router} of this.pools.values()) {
      for (const {inFlight: count, name: upstream, pool} of router.upstreams) {
        if (count > 0) {
          counts.push({count, pool, upstream});
        }
      }
    }
    return counts;
  }

  /** Upstreams that told this box that they are leaving. */
  leaving(): string[] {
    const now = this.clock.now();
    for (const [id, until] of this.toldLeaving) {
      if (until <= now) {
        this.toldLeaving.delete(id);
      }
    }
    return [...this.toldLeaving.keys()];
  }

  /** Notes that an upstream said itself that it is leaving. */
  noteLeaving(pool: string, upstream: string): void {
    const until = this.clock.now() + LEAVING_MEMORY_MS;
    this.toldLeaving.set(upstreamId(pool, upstream), until);
    this.markLeaving();
  }

  /** Takes over the platform's list: names of upstreams that are leaving. */
  noteListed(leaving: ReadonlySet<string>): void {
    this.listedLeaving = leaving;
    this.markLeaving();
  }

  /** Takes over the configuration in force. */
  adopt(config: FleetConfig): void {
    if (config === this.config) {
      return;
    }
    this.config = config;
    const targets = new Map(
      config.allTargets().map((target) => [target.name, target]),
    );
    for (const [name, {router}] of this.pools) {
      router.declare(targets.get(name)?.spec.upstreams ?? []);
    }
    this.markLeaving();
  }

  /** Takes over what the other boxes report. */
  adoptNews(news: HeartbeatReply): void {
    this.liveBoxes = Math.max(1, news.boxes.length);
    this.fleetLeaving = new Set(news.leaving);
    const counts = new Map(
      news.inFlight.map(({count, pool, upstream}) => [
        upstreamId(pool, upstream),
        count,
      ]),
    );
    for (const {router} of this.pools.values()) {
      for (const upstream of router.upstreams) {
        const id = upstreamId(upstream.pool, upstream.name);
        upstream.othersInFlight = counts.get(id) ?? 0;
      }
    }
    this.markLeaving();
  }

  private markLeaving(): void {
    for (const [pool, {router}] of this.pools) {
      router.markLeaving((name) => {
        const id = upstreamId(pool, name);
        return (
          this.config?.isUpstreamDrained(pool, name) === true ||
          this.toldLeaving.has(id) ||
          this.fleetLeaving.has(id) ||
          this.listedLeaving.has(name)
        );
      });
    }
  }

  private create(target: Target): Pool {
    const prefixes = new PrefixIndex();
    const targetMs =
      target.kind === 'pool'
        ? target.spec.target.firstTokenMs
        : SERVICE_TARGET_MS;
    return {
      hedge: new Hedge(),
      prefixes,
      promptBound: new PromptBound(),
      retries: new ShareRetryBudget(),
      router: new Router({
        choice: new ExpectedTimeChoice(this.random, prefixes),
        clock: this.clock,
        limit: new AdaptiveLimit(() => this.liveBoxes, this.clock),
        pool: target.name,
        queue: new FairQueue(this.clock),
        targetMs,
      }),
    };
  }
}
