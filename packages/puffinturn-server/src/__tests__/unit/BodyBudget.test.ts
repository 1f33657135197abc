/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against bodies that stand still and keep ordinary ones out. */
import {ManualClock} from 'shared';

import type {BodyEviction} from '../../BodyBudget';
import {BODY_EVICTION, BodyBudget, UnfinishedBody} from '../../BodyBudget';

const MAX_HELD_BYTES = 100;
const LONG_PAUSE_MS = 5_000;

/** A body that grows as told. */
class TestBody extends UnfinishedBody {
  memoryBytes = 0;
  eviction: BodyEviction | undefined;
  readonly startedAt: number;
  lastBytesAt: number;

  constructor(
    private readonly budget: BodyBudget,
    private readonly clock: ManualClock,
  ) {
    super();
    this.startedAt = clock.now();
    this.lastBytesAt = this.startedAt;
    budget.add(this);
  }

  grow(bytes: number): this {
    this.lastBytesAt = this.clock.now();
    this.memoryBytes += bytes;
    this.budget.change(bytes);
    return this;
  }

  finish(): this {
    this.budget.remove(this);
    return this;
  }

  evict(reason: BodyEviction): void {
    this.eviction = reason;
    this.budget.remove(this);
    this.budget.change(-this.memoryBytes);
    this.memoryBytes = 0;
  }
}

describe('BodyBudget', () => {
  const {noRoom, stalled} = BODY_EVICTION;
  let clock: ManualClock;
  let budget: BodyBudget;
  const createBody = () => new TestBody(budget, clock);

  beforeEach(() => {
    clock = new ManualClock();
    budget = new BodyBudget(clock, MAX_HELD_BYTES);
  });

  test('evicts the largest of the bodies that have stood still', async () => {
    const small = createBody().grow(10);
    const large = createBody().grow(20);
    await clock.advance(LONG_PAUSE_MS);
    const largest = createBody().grow(60);
    const next = createBody().grow(15);
    expect(large.eviction).toBe(stalled);
    expect([small, largest, next].map(({eviction}) => eviction)).toEqual([
      undefined,
      undefined,
      undefined,
    ]);
    expect(budget.usedBytes).toBe(85);
  });

  test('evicts the largest if none has stood still, also the one that grows', () => {
    const small = createBody().grow(30);
    const large = createBody().grow(60);
    const newcomer = createBody().grow(20);
    expect(large.eviction).toBe(noRoom);
    newcomer.grow(60);
    expect(newcomer.eviction).toBe(noRoom);
    expect(small.eviction).toBeUndefined();
  });

  test('keeps whole bodies and evicts what comes after them', () => {
    const whole = createBody().grow(95).finish();
    const newcomer = createBody().grow(10);
    expect(whole.eviction).toBeUndefined();
    expect(newcomer.eviction).toBe(noRoom);
  });

  test('evicts bodies that stand still for long though there is room', async () => {
    const still = createBody().grow(1);
    await clock.advance(LONG_PAUSE_MS / 2);
    const moving = createBody().grow(1);
    await clock.advance(LONG_PAUSE_MS / 2);
    budget.evictStalled(LONG_PAUSE_MS);
    expect([still.eviction, moving.eviction]).toEqual([stalled, undefined]);
  });

  test('gives up the stillest body, else the oldest, and none that is new', async () => {
    const older = createBody().grow(1);
    expect(budget.evictSlowest()).toBe(false);
    await clock.advance(LONG_PAUSE_MS);
    const newer = createBody().grow(1);
    older.grow(1);
    await clock.advance(LONG_PAUSE_MS);
    older.grow(1);
    expect(budget.evictSlowest()).toBe(true);
    expect([older.eviction, newer.eviction]).toEqual([undefined, stalled]);
    expect(budget.evictSlowest()).toBe(true);
    expect(older.eviction).toBe(noRoom);
  });
});
