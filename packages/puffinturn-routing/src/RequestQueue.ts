/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Queues of requests that wait for an upstream. */
import {Heap} from 'heap-js';
import type {Clock} from 'shared';

import {PRIORITY_AGING_MS} from './RoutingConstants';

/** A request in the queue. */
export interface QueuedRequest {
  readonly team: string;
  /** Weight of the team relative to other teams. */
  readonly weight: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Deadline, ms of the box's clock. */
  readonly deadline: number;
  /** Expected work; the unit is the same for all requests. */
  readonly cost: number;
  /** Time of entry into the queue, ms of the box's clock. */
  readonly enqueuedAt: number;
}

/** A new request for which a queued one may be shed. */
export type IncomingRequest = Pick<
  QueuedRequest,
  'priority' | 'team' | 'weight'
>;

/** Queue of the requests for one pool. */
export abstract class RequestQueue<Item extends QueuedRequest> {
  /** Number of queued requests. */
  abstract get size(): number;

  abstract push(item: Item): void;

  /** Removes and returns the next request. */
  abstract pop(): Item | undefined;

  /** Removes a request; false if it is not queued. */
  abstract remove(item: Item): boolean;

  /**
   * Removes and returns a request that is less important than `incoming`: it is less
   * urgent, or its team has more queued requests in relation to its weight.
   */
  abstract shed(incoming: IncomingRequest): Item | undefined;
}

/** Baseline: first in, first out; sheds nothing. */
export class FifoQueue<Item extends QueuedRequest> extends RequestQueue<Item> {
  private readonly items: Item[] = [];

  override get size(): number {
    return this.items.length;
  }

  override push(item: Item): void {
    this.items.push(item);
  }

  override pop(): Item | undefined {
    return this.items.shift();
  }

  override remove(item: Item): boolean {
    const index = this.items.indexOf(item);
    return index >= 0 && this.items.splice(index, 1).length > 0;
  }

  override shed(): Item | undefined {
    return undefined;
  }
}

/** Queued requests of one team with one priority, by deadline. */
interface TeamQueue<Item> {
  readonly team: string;
  readonly priority: number;
  readonly items: Heap<Item>;
}

/**
 * Weighted fair queue. Orders requests by priority, which rises with the queue time, then
 * by the served cost of the team in relation to its weight, then by deadline.
 */
export class FairQueue<Item extends QueuedRequest> extends RequestQueue<Item> {
  private readonly teamQueues = new Map<string, TeamQueue<Item>>();
  /** Cost of the served requests per team, divided by the weight of the team. */
  private readonly servedCosts = new Map<string, number>();
  /** Highest served cost at which a team was selected; idle teams restart from here. */
  private virtualTime = 0;
  private requestCount = 0;

  constructor(private readonly clock: Clock) {
    super();
  }

  override get size(): number {
    return this.requestCount;
  }

  override push(item: Item): void {
    const id = `${item.priority} ${item.team}`;
    const teamQueue = this.teamQueues.get(id) ?? {
      items: new Heap<Item>((a, b) => a.deadline - b.deadline),
      priority: item.priority,
      team: item.team,
    };
    this.teamQueues.set(id, teamQueue);
    teamQueue.items.push(item);
    this.requestCount += 1;
    // An idle team collects no credit for the time without requests.
    const servedCost = this.servedCosts.get(item.team) ?? 0;
    this.servedCosts.set(item.team, Math.max(servedCost, this.virtualTime));
  }

  override pop(): Item | undefined {
    const teamQueue = this.selectNextQueue();
    const item = teamQueue?.items.pop();
    if (teamQueue === undefined || item === undefined) {
      return undefined;
    }
    this.deleteIfEmpty(teamQueue);
    this.requestCount -= 1;
    const {cost, team, weight} = item;
    const servedCost = this.servedCosts.get(team) ?? 0;
    this.virtualTime = Math.max(this.virtualTime, servedCost);
    this.servedCosts.set(team, servedCost + cost / weight);
    this.resetIfEmpty();
    return item;
  }

  override remove(item: Item): boolean {
    const teamQueue = this.teamQueues.get(`${item.priority} ${item.team}`);
    if (teamQueue === undefined || !teamQueue.items.remove(item, Object.is)) {
      return false;
    }
    this.deleteIfEmpty(teamQueue);
    this.requestCount -= 1;
    return true;
  }

  override shed(incoming: IncomingRequest): Item | undefined {
    const ownQueue = this.teamQueues.get(
      `${incoming.priority} ${incoming.team}`,
    );
    const ownWeightedLength =
      ((ownQueue?.items.size() ?? 0) + 1) / incoming.weight;
    let victimQueue: TeamQueue<Item> | undefined;
    let victimWeightedLength = ownWeightedLength;
    for (const teamQueue of this.teamQueues.values()) {
      const weightedLength =
        teamQueue.items.size() / (teamQueue.items.peek()?.weight ?? 1);
      const victimPriority = victimQueue?.priority ?? incoming.priority;
      const isLessUrgent = teamQueue.priority > victimPriority;
      if (
        isLessUrgent ||
        (teamQueue.priority === victimPriority &&
          weightedLength > victimWeightedLength)
      ) {
        victimQueue = teamQueue;
        victimWeightedLength = weightedLength;
      }
    }
    const victim = victimQueue?.items.toArray().at(-1);
    if (victim === undefined) {
      return undefined;
    }
    this.remove(victim);
    return victim;
  }

  private selectNextQueue(): TeamQueue<Item> | undefined {
    const now = this.clock.now();
    let next: TeamQueue<Item> | undefined;
    let nextPriority = Infinity;
    let nextServedCost = Infinity;
    for (const teamQueue of this.teamQueues.values()) {
      const enqueuedAt = teamQueue.items.peek()?.enqueuedAt ?? now;
      const effectivePriority =
        teamQueue.priority - Math.floor((now - enqueuedAt) / PRIORITY_AGING_MS);
      const servedCost = this.servedCosts.get(teamQueue.team) ?? 0;
      if (
        effectivePriority < nextPriority ||
        (effectivePriority === nextPriority && servedCost < nextServedCost)
      ) {
        next = teamQueue;
        nextPriority = effectivePriority;
        nextServedCost = servedCost;
      }
    }
    return next;
  }

  private deleteIfEmpty(teamQueue: TeamQueue<Item>): void {
    if (teamQueue.items.isEmpty()) {
      this.teamQueues.delete(`${teamQueue.priority} ${teamQueue.team}`);
    }
  }

  private resetIfEmpty(): void {
    if (this.requestCount === 0) {
      this.servedCosts.clear();
      this.virtualTime = 0;
    }
  }
}
