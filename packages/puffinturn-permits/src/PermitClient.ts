/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Obtains permits for requests to rate-limited upstreams from the boxes that grant them.
 * Each upstream has at most one permit request per urgency in flight. If no granter can be
 * reached, no permit is given, so that the limit also holds during a network partition.
 */
import {LRUCache} from 'lru-cache';
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';

import {GranterCaller} from './GranterCaller';
import type {GranterCandidate} from './GranterSelector';
import {GranterSelector} from './GranterSelector';
import {MAX_TRACKED_UPSTREAMS, NO_GRANTER_WAIT_MS} from './PermitConstants';
import type {ColdTolerance, GrantCounts} from './PermitGranter';
import {PermitGranter} from './PermitGranter';
import type {PermitReply, PermitRequest} from './PermitMessages';
import {PERMIT_SERVICE} from './PermitMessages';
import type {UpstreamRateLimit} from './UpstreamRateLimit';

/** Dependencies of PermitClient. */
export interface PermitsParts {
  readonly self: GranterCandidate;
  /** Returns the other boxes; a new array after each change of the list. */
  readonly peers: () => readonly GranterCandidate[];
  /** Whether two halls are in the same region. */
  readonly areInSameRegion: (hall: string, other: string) => boolean;
  readonly clock: Clock;
  readonly link: Link;
  readonly coldTolerance: ColdTolerance;
  /** Returns the limit of an upstream as known to this box. */
  readonly limitOf: (id: string) => UpstreamRateLimit;
  /** Merges the limit of an upstream as known to another box. */
  readonly mergeLimit: (
    id: string,
    limit: UpstreamRateLimit,
    source: string,
  ) => void;
  /** Called periodically with the permits that this box granted to all boxes. */
  readonly onCounts?: (counts: GrantCounts) => void;
}

/** The contents of a permit request for a single permit. */
export type PermitQuery = Omit<PermitRequest, 'wanted'>;

interface Waiter {
  readonly query: PermitQuery;
  readonly resolve: (isGranted: boolean) => void;
}

/** Requests of one urgency that wait for a permit of one upstream. */
interface WaitQueue {
  waiters: Waiter[];
  /** Whether a permit request is in flight. */
  isRequesting: boolean;
  /** No permit is available before this time, monotonic ms. */
  retryAt: number;
}

/** Requests permits from granters and grants permits to other boxes. */
export class PermitClient implements Disposable {
  private readonly queues = new LRUCache<string, WaitQueue>({
    max: MAX_TRACKED_UPSTREAMS,
  });
  private readonly granters: GranterCaller;
  private readonly selector: GranterSelector;
  private readonly localGranter: PermitGranter;
  private readonly registration: Disposable;

  constructor(private readonly parts: PermitsParts) {
    const {clock, coldTolerance, mergeLimit, limitOf, link, self} = parts;
    this.selector = new GranterSelector(parts);
    this.granters = new GranterCaller(PERMIT_SERVICE, parts);
    this.localGranter = new PermitGranter({
      box: self.box,
      clock,
      coldTolerance,
      limitOf,
      onCounts: parts.onCounts ?? (() => undefined),
      selector: this.selector,
    });
    this.registration = link.register(PERMIT_SERVICE, async (body, from) => {
      const request = body as PermitRequest;
      mergeLimit(request.upstream.id, request.limit, from);
      return this.localGranter.grant(request);
    });
  }

  /** Returns the wait before the next permit request, ms; 0 if one may be sent now. */
  waitMs(id: string, isLeastUrgent: boolean): number {
    const retryAt = this.queues.get(queueKey(id, isLeastUrgent))?.retryAt;
    return Math.max(0, (retryAt ?? 0) - this.parts.clock.now());
  }

  /**
   * Requests a permit for one request. Resolves to false if none is available now. A
   * granted permit must be used immediately.
   */
  acquire(query: PermitQuery): Promise<boolean> {
    const {isLeastUrgent, upstream} = query;
    const queue = this.getQueue(queueKey(upstream.id, isLeastUrgent));
    return new Promise((resolve) => {
      queue.waiters.push({query, resolve});
      if (!queue.isRequesting) {
        void this.drainQueue(queue);
      }
    });
  }

  /** Reports the limit of an upstream to its granter without requesting a permit. */
  async reportLimit(query: PermitQuery): Promise<void> {
    await this.requestPermits({...query, wanted: 0});
  }

  [Symbol.dispose](): void {
    this.registration[Symbol.dispose]();
  }

  private getQueue(key: string): WaitQueue {
    const existing = this.queues.get(key);
    if (existing !== undefined) {
      return existing;
    }
    const queue: WaitQueue = {
      isRequesting: false,
      retryAt: -Infinity,
      waiters: [],
    };
    this.queues.set(key, queue);
    return queue;
  }

  /**
   * Requests permits for all waiters until the queue is empty. Waiters that are added
   * during a request are part of the next one. After a refusal all of them are rejected.
   */
  private async drainQueue(queue: WaitQueue): Promise<void> {
    const {clock} = this.parts;
    queue.isRequesting = true;
    for (
      let [first] = queue.waiters;
      first !== undefined;
      [first] = queue.waiters
    ) {
      const {waiters} = queue;
      queue.waiters = [];
      const wanted = waiters.length;
      const {granted, waitMs} = await this.requestPermits({
        ...first.query,
        wanted,
      });
      waiters.forEach(({resolve}, index) => resolve(index < granted));
      if (granted < wanted) {
        queue.retryAt = clock.now() + waitMs;
        queue.waiters.splice(0).forEach(({resolve}) => resolve(false));
      }
    }
    queue.isRequesting = false;
  }

  /** Calls the granters of an upstream in order until one replies. */
  private async requestPermits(request: PermitRequest): Promise<PermitReply> {
    const {mergeLimit, self} = this.parts;
    for (const granterBox of this.selector.select(request.upstream)) {
      if (granterBox === self.box) {
        return this.localGranter.grant(request);
      }
      const reply = (await this.granters.call(granterBox, request)) as
        PermitReply | undefined;
      if (reply !== undefined) {
        mergeLimit(request.upstream.id, reply.limit, granterBox);
        return reply;
      }
    }
    const {limit} = request;
    return {granted: 0, limit, waitMs: NO_GRANTER_WAIT_MS};
  }
}

function queueKey(id: string, isLeastUrgent: boolean): string {
  return `${isLeastUrgent ? 'low' : 'high'} ${id}`;
}
