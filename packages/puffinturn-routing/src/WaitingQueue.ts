/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The order in which requests wait for an upstream. */
import {Heap} from 'heap-js';
import type {Clock} from 'shared';

import {AGEING_MS} from './RoutingConstants';

/** A request that waits. */
export interface WaitingRequest {
  readonly team: string;
  /** The team's share relative to others. */
  readonly weight: number;
  /** 0 goes first. */
  readonly priority: number;
  /** ms of the box's clock. */
  readonly deadline: number;
  /** Work that it brings, in any unit that is the same for all. */
  readonly cost: number;
  /** When it began to wait, ms of the box's clock. */
  readonly since: number;
}

/** A request that would wait, as far as shedding looks at it. */
export type Newcomer = Pick<WaitingRequest, 'priority' | 'team' | 'weight'>;

/** Requests that wait for one pool. */
export abstract class WaitingQueue<Item extends WaitingRequest> {
  /** Requests that wait. */
  abstract get size(): number;

  /** Adds a request. */
  abstract push(item: Item): void;

  /** Takes the request that goes next. */
  abstract pop(): Item | undefined;

  /** Removes a request that has given up. */
  abstract remove(item: Item): boolean;

  /**
   * Takes a request that matters less than `newcomer`: of a lower priority, or
   * of a team that has more waiting for its weight.
   */
  abstract shed(newcomer: Newcomer): Item | undefined;
}

/** Baseline: in order of arrival. */
export class FifoQueue<Item extends WaitingRequest> extends WaitingQueue<Item> {
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
    const at = this.items.indexOf(item);
    return at >= 0 && this.items.splice(at, 1).length > 0;
  }

  override shed(): Item | undefined {
    return undefined;
  }
}

interface Lane<Item> {
  readonly team: string;
  readonly priority: number;
  readonly items: Heap<Item>;
}

/**
 * Priority first, raised by waiting; within a priority the team that has been
 * served least for its weight; within a team the earliest deadline.
 */
export class FairQueue<Item extends WaitingRequest> extends WaitingQueue<Item> {
  private readonly lanes = new Map<string, Lane<Item>>();
  /** Work served for each team divided by its weight. */
  private readonly served = new Map<string, number>();
  /** Served work of the team that was last taken; newcomers start there. */
  private floor = 0;
  private count = 0;

  constructor(private readonly clock: Clock) {
    super();
  }

  override get size(): number {
    return this.count;
  }

  override push(item: Item): void {
    const id = `${item.priority} ${item.team}`;
    const lane = this.lanes.get(id) ?? {
      items: new Heap<Item>((a, b) => a.deadline - b.deadline),
      priority: item.priority,
      team: item.team,
    };
    this.lanes.set(id, lane);
    lane.items.push(item);
    this.count += 1;
    // A team that was idle has no claim on the past.
    const served = this.served.get(item.team) ?? 0;
    this.served.set(item.team, Math.max(served, this.floor));
  }

  override pop(): Item | undefined {
    const lane = this.nextLane();
    const item = lane?.items.pop();
    if (lane === undefined || item === undefined) {
      return undefined;
    }
    this.dropIfEmpty(lane);
    this.count -= 1;
    const {cost, team, weight} = item;
    const before = this.served.get(team) ?? 0;
    this.floor = Math.max(this.floor, before);
    this.served.set(team, before + cost / weight);
    this.forgetIdle();
    return item;
  }

  override remove(item: Item): boolean {
    const lane = this.lanes.get(`${item.priority} ${item.team}`);
    if (lane === undefined || !lane.items.remove(item, Object.is)) {
      return false;
    }
    this.dropIfEmpty(lane);
    this.count -= 1;
    return true;
  }

  override shed(newcomer: Newcomer): Item | undefined {
    const own = this.lanes.get(`${newcomer.priority} ${newcomer.team}`);
    const ownLength = ((own?.items.size() ?? 0) + 1) / newcomer.weight;
    let worst: Lane<Item> | undefined;
    let worstLength = ownLength;
    for (const lane of this.lanes.values()) {
      const length = lane.items.size() / (lane.items.peek()?.weight ?? 1);
      const level = worst?.priority ?? newcomer.priority;
      const lower = lane.priority > level;
      if (lower || (lane.priority === level && length > worstLength)) {
        worst = lane;
        worstLength = length;
      }
    }
    const last = worst?.items.toArray().at(-1);
    if (last === undefined) {
      return undefined;
    }
    this.remove(last);
    return last;
  }

  private nextLane(): Lane<Item> | undefined {
    const now = this.clock.now();
    let best: Lane<Item> | undefined;
    let bestLevel = Infinity;
    let bestServed = Infinity;
    for (const lane of this.lanes.values()) {
      const since = lane.items.peek()?.since ?? now;
      const level = lane.priority - Math.floor((now - since) / AGEING_MS);
      const served = this.served.get(lane.team) ?? 0;
      if (level < bestLevel || (level === bestLevel && served < bestServed)) {
        best = lane;
        bestLevel = level;
        bestServed = served;
      }
    }
    return best;
  }

  private dropIfEmpty(lane: Lane<Item>): void {
    if (lane.items.isEmpty()) {
      this.lanes.delete(`${lane.priority} ${lane.team}`);
    }
  }

  private forgetIdle(): void {
    if (this.count === 0) {
      this.served.clear();
      this.floor = 0;
    }
  }
}
