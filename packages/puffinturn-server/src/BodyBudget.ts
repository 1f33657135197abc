/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Memory for the bodies of all requests of a server. When it runs short, unfinished bodies
 * give way: first those that have stood still, the largest first, then the largest of the
 * others. So bodies that stand still can't keep out a small one. A whole body stays, as its
 * request may have been sent on.
 */
import type {Clock} from 'shared';

/** Time without a byte after which a body gives way before others, ms. */
const STANDSTILL_MS = 1_000;

/** Why the server refuses a request whose body is unfinished. */
export const BODY_EVICTION = {
  /** There is no memory for it. */
  noRoom: 'no-room',
  /** It has stood still. */
  stalled: 'stalled',
} as const;

/** One of BODY_EVICTION. */
export type BodyEviction = (typeof BODY_EVICTION)[keyof typeof BODY_EVICTION];

/** An unfinished body. */
export abstract class UnfinishedBody {
  /** Memory in use, bytes. */
  abstract readonly memoryBytes: number;
  /** Monotonic ms. */
  abstract readonly startedAt: number;
  /** When the last bytes arrived, monotonic ms. */
  abstract readonly lastBytesAt: number;

  /** Drops what is held; the budget gets the memory back. */
  abstract evict(reason: BodyEviction): void;
}

/** Counts the memory of bodies, and evicts unfinished ones. */
export class BodyBudget {
  /** In the order of their arrival. */
  private readonly unfinished = new Set<UnfinishedBody>();
  private used = 0;

  constructor(
    private readonly clock: Clock,
    readonly maxHeldBytes: number,
  ) {}

  /** Memory that all bodies use, bytes. */
  get usedBytes(): number {
    return this.used;
  }

  add(body: UnfinishedBody): void {
    this.unfinished.add(body);
  }

  /** A body is whole, or was dropped. */
  remove(body: UnfinishedBody): void {
    this.unfinished.delete(body);
  }

  /** Records a change of the memory in use; may evict bodies, also the one that grows. */
  change(bytes: number): void {
    this.used += bytes;
    while (bytes > 0 && this.used > this.maxHeldBytes) {
      const now = this.clock.now();
      const victim = this.selectVictim(now);
      if (victim === undefined) {
        return;
      }
      victim.evict(evictionOf(victim, now));
    }
  }

  /** Evicts bodies without a byte for this time. */
  evictStalled(maxPauseMs: number): void {
    const now = this.clock.now();
    for (const body of this.unfinished) {
      if (now - body.lastBytesAt >= maxPauseMs) {
        body.evict(BODY_EVICTION.stalled);
      }
    }
  }

  /**
   * Evicts the body that has stood still for longest, or else the one that has taken
   * longest so far; none that arrived just now. Returns whether there was one.
   */
  evictSlowest(): boolean {
    const now = this.clock.now();
    const slow = [...this.unfinished].filter(
      ({startedAt}) => now - startedAt >= STANDSTILL_MS,
    );
    const [oldest] = slow;
    if (oldest === undefined) {
      return false;
    }
    const stillest = slow.reduce((found, body) =>
      body.lastBytesAt < found.lastBytesAt ? body : found,
    );
    const victim = hasStoodStill(stillest, now) ? stillest : oldest;
    victim.evict(evictionOf(victim, now));
    return true;
  }

  private selectVictim(now: number): UnfinishedBody | undefined {
    let victim: UnfinishedBody | undefined;
    let isVictimStill = false;
    for (const body of this.unfinished) {
      const isStill = hasStoodStill(body, now);
      const isLarger = body.memoryBytes > (victim?.memoryBytes ?? -1);
      if (isStill === isVictimStill ? isLarger : isStill) {
        victim = body;
        isVictimStill = isStill;
      }
    }
    return victim;
  }
}

function hasStoodStill({lastBytesAt}: UnfinishedBody, now: number): boolean {
  return now - lastBytesAt >= STANDSTILL_MS;
}

function evictionOf(body: UnfinishedBody, now: number): BodyEviction {
  return hasStoodStill(body, now)
    ? BODY_EVICTION.stalled
    : BODY_EVICTION.noRoom;
}
