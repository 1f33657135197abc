/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Obtains slots of upstreams from the boxes that grant them, and reports those in use. No
 * box alone can see how full an upstream is.
 */
import {LRUCache} from 'lru-cache';
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';

import {GranterCaller} from './GranterCaller';
import type {GranterSelectorParts} from './GranterSelector';
import {GranterSelector} from './GranterSelector';
import {MAX_TRACKED_UPSTREAMS} from './PermitConstants';
import {
  SLOT_REFRESH_INTERVAL_MS,
  SLOT_REPORT_DELAY_MS,
  SLOT_WAIT_MS,
} from './SlotConstants';
import {SlotGranter} from './SlotGranter';
import type {SlotReply, SlotRequest} from './SlotMessages';
import {SLOT_SERVICE} from './SlotMessages';

/** An upstream whose slots are granted. */
export interface SlotUpstream {
  readonly id: string;
  /** Identifies the incarnation of the upstream. */
  readonly incarnationId: string;
  /** Requests of this box at the upstream. */
  readonly inFlight: number;
  readonly record: {readonly hall: string; readonly slots: number};
}

/** Dependencies of SlotClient. */
export interface SlotClientParts extends GranterSelectorParts {
  readonly clock: Clock;
  readonly link: Link;
}

interface Waiter {
  readonly isLeastUrgent: boolean;
  readonly resolve: (isGranted: boolean) => void;
}

/** State of one incarnation of an upstream. */
interface SlotQueue {
  readonly upstream: SlotUpstream;
  waiters: Waiter[];
  isRequesting: boolean;
  /** Slots granted to this box and not released. */
  granted: number;
  /** Rejections that were not reported yet. */
  rejected: number;
  /** No slot is available before this time, monotonic ms. */
  retryAt: number;
  reportTimer: NodeJS.Timeout | undefined;
}

/** Requests slots from granters, and grants slots to other boxes. */
export class SlotClient implements Disposable {
  private readonly queues = new LRUCache<string, SlotQueue>({
    dispose: ({reportTimer}) => clearTimeout(reportTimer),
    max: MAX_TRACKED_UPSTREAMS,
  });
  private readonly granters: GranterCaller;
  private readonly selector: GranterSelector;
  private readonly localGranter: SlotGranter;
  private readonly registration: Disposable;

  constructor(private readonly parts: SlotClientParts) {
    this.selector = new GranterSelector(parts);
    this.granters = new GranterCaller(SLOT_SERVICE, parts);
    this.localGranter = new SlotGranter(parts.clock);
    this.registration = parts.link.register(SLOT_SERVICE, async (body, from) =>
      this.grant(body as SlotRequest, from),
    );
  }

  /** Returns the wait before the next request for a slot, ms; 0 if there is none. */
  waitMs({incarnationId}: SlotUpstream): number {
    const retryAt = this.queues.get(incarnationId)?.retryAt ?? -Infinity;
    return Math.max(0, retryAt - this.parts.clock.now());
  }

  /** Requests a slot. Resolves to false if none is free now. */
  acquire(upstream: SlotUpstream, isLeastUrgent: boolean): Promise<boolean> {
    const queue = this.getQueue(upstream);
    return new Promise((resolve) => {
      queue.waiters.push({isLeastUrgent, resolve});
      if (!queue.isRequesting) {
        void this.drainQueue(queue);
      }
    });
  }

  /** Releases the slot of a request that has ended, if it had one. */
  release({incarnationId}: SlotUpstream): void {
    const queue = this.queues.get(incarnationId);
    if (queue !== undefined && queue.granted > 0) {
      queue.granted -= 1;
      this.scheduleReport(queue, SLOT_REPORT_DELAY_MS);
    }
  }

  /** Records that the upstream had no room for a request. */
  recordRejected(upstream: SlotUpstream): void {
    const queue = this.getQueue(upstream);
    queue.rejected += 1;
    queue.retryAt = this.parts.clock.now() + SLOT_WAIT_MS;
    this.scheduleReport(queue, 0);
  }

  [Symbol.dispose](): void {
    this.registration[Symbol.dispose]();
    this.queues.clear();
  }

  private grant(request: SlotRequest, box: string): SlotReply {
    const rank = this.selector.select(request).indexOf(this.parts.self.box);
    // A box with another list of boxes asks the right granter once it has this one.
    return rank < 0
      ? {granted: 0}
      : this.localGranter.grant(request, box, rank);
  }

  private getQueue(upstream: SlotUpstream): SlotQueue {
    const existing = this.queues.get(upstream.incarnationId);
    if (existing !== undefined) {
      return existing;
    }
    const queue: SlotQueue = {
      granted: 0,
      isRequesting: false,
      rejected: 0,
      reportTimer: undefined,
      retryAt: -Infinity,
      upstream,
      waiters: [],
    };
    this.queues.set(upstream.incarnationId, queue);
    return queue;
  }

  /** Requests slots for all waiters, the urgent ones first, until none is waiting. */
  private async drainQueue(queue: SlotQueue): Promise<void> {
    queue.isRequesting = true;
    while (queue.waiters.length > 0) {
      const hasUrgent = queue.waiters.some(({isLeastUrgent}) => !isLeastUrgent);
      const batch = queue.waiters.filter(
        ({isLeastUrgent}) => isLeastUrgent !== hasUrgent,
      );
      queue.waiters = queue.waiters.filter((waiter) => !batch.includes(waiter));
      const granted = await this.request(queue, batch.length, !hasUrgent);
      queue.granted += granted;
      batch.forEach(({resolve}, index) => resolve(index < granted));
      if (granted < batch.length) {
        queue.retryAt = this.parts.clock.now() + SLOT_WAIT_MS;
        queue.waiters.splice(0).forEach(({resolve}) => resolve(false));
      }
    }
    queue.isRequesting = false;
  }

  private scheduleReport(queue: SlotQueue, delayMs: number): void {
    clearTimeout(queue.reportTimer);
    queue.reportTimer = setTimeout(
      () => void this.request(queue, 0, false),
      delayMs,
    ).unref();
  }

  /** Sends one request to the granters in order; returns the number of slots granted. */
  private async request(
    queue: SlotQueue,
    wanted: number,
    isLeastUrgent: boolean,
  ): Promise<number> {
    const {upstream} = queue;
    const {hall, slots} = upstream.record;
    const request: SlotRequest = {
      hall,
      held: Math.max(queue.granted, upstream.inFlight),
      id: upstream.id,
      incarnationId: upstream.incarnationId,
      isLeastUrgent,
      rejected: queue.rejected,
      slots,
      wanted,
    };
    queue.rejected = 0;
    if (queue.granted > 0) {
      this.scheduleReport(queue, SLOT_REFRESH_INTERVAL_MS);
    }
    for (const box of this.selector.select(request)) {
      const reply =
        box === this.parts.self.box
          ? this.grant(request, box)
          : ((await this.granters.call(box, request)) as SlotReply | undefined);
      if (reply !== undefined) {
        return reply.granted;
      }
    }
    return 0;
  }
}
