/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {ManualClock} from 'shared';

import type {Arrival} from '../../callers/AcceptBacklog';
import {AcceptBacklog, NEGLIGIBLE_AGE_MS} from '../../callers/AcceptBacklog';

/** Time of one turn of the event loop, ms. */
const TURN_MS = 40;

/** A loop whose turns accept what a test says. */
class Loop {
  readonly clock = new ManualClock();
  readonly backlog = new AcceptBacklog(this.clock);

  /** One turn that accepts a connection; its request is read in the next one. */
  async accept(): Promise<Arrival> {
    const arrival = this.backlog.accepted();
    await this.turn();
    return arrival;
  }

  async turn(ms = TURN_MS): Promise<boolean> {
    await this.clock.advance(ms);
    return this.backlog.turned();
  }

  age(arrival?: Arrival): number {
    return this.clock.now() - this.backlog.arrivalOf(arrival);
  }
}

describe('AcceptBacklog', () => {
  test('a calm loop takes requests as it reads them', async () => {
    const loop = new Loop();
    for (let count = 0; count < 20; count += 1) {
      await loop.turn();
      await loop.turn();
      expect(loop.age(await loop.accept())).toBe(0);
    }
    expect(loop.backlog.ageMs).toBe(0);
  });

  test('what comes after a pause is not taken to have come before it', async () => {
    const loop = new Loop();
    await loop.turn();
    expect(await loop.turn(10 * TURN_MS)).toBe(true);
    await loop.turn(0);
    await loop.clock.advance(TURN_MS);
    expect(loop.age()).toBe(0);
    expect(loop.age(loop.backlog.accepted())).toBe(0);
  });

  test('a queue that was never empty is as old as its first wait', async () => {
    const loop = new Loop();
    await loop.turn();
    const emptyAt = loop.clock.now();
    await loop.turn();
    for (let count = 0; count < 50; count += 1) {
      const arrival = await loop.accept();
      const expected = loop.clock.now() - emptyAt;
      expect(loop.age(arrival)).toBe(
        expected < NEGLIGIBLE_AGE_MS ? 0 : expected,
      );
    }
    expect(loop.backlog.ageMs).toBe(51 * TURN_MS);
  });

  test('an empty turn ends it, and asks for no further look', async () => {
    const loop = new Loop();
    for (let count = 0; count < 50; count += 1) {
      loop.backlog.accepted();
      expect(await loop.turn()).toBe(true);
    }
    expect(await loop.turn()).toBe(false);
    expect(loop.backlog.ageMs).toBe(0);
    expect(loop.age(await loop.accept())).toBe(0);
  });

  test('what comes while a turn without connections lasts is as old as it', async () => {
    const loop = new Loop();
    await loop.turn();
    await loop.turn(3_000);
    const arrival = await loop.accept();
    expect(loop.age(arrival)).toBeGreaterThanOrEqual(3_000);
  });

  test('a mark tells the age of all that are accepted after it', async () => {
    const loop = new Loop();
    for (let count = 0; count < 50; count += 1) {
      await loop.accept();
    }
    const mark = loop.backlog.mark();
    for (let count = 0; count < 10; count += 1) {
      await loop.accept();
    }
    loop.backlog.acceptedMark(mark);
    await loop.turn();
    expect(loop.age(await loop.accept())).toBe(12 * TURN_MS);
  });

  test('a mark that is older than an empty turn tells nothing', async () => {
    const loop = new Loop();
    const mark = loop.backlog.mark();
    for (let count = 0; count < 20; count += 1) {
      await loop.turn();
    }
    loop.backlog.acceptedMark(mark);
    await loop.turn();
    expect(loop.backlog.ageMs).toBe(0);
  });

  test('no request is taken to be younger than it is', async () => {
    const loop = new Loop();
    // A mark after each tenth connection; the queue grows all the time.
    const queue: {readonly cameAt: number; readonly isMark: boolean}[] = [];
    const marks: ReturnType<AcceptBacklog['mark']>[] = [];
    for (let turn = 0; turn < 400; turn += 1) {
      const cameAt = loop.clock.now();
      queue.push({cameAt, isMark: false}, {cameAt, isMark: turn % 10 === 0});
      if (turn % 10 === 0) {
        marks.push(loop.backlog.mark());
      }
      const next = queue.shift();
      const mark = next?.isMark === true ? marks.shift() : undefined;
      if (mark !== undefined) {
        loop.backlog.acceptedMark(mark);
        await loop.turn();
        continue;
      }
      const arrival = await loop.accept();
      const age = loop.clock.now() - (next?.cameAt ?? 0);
      const told = loop.age(arrival);
      expect(told + NEGLIGIBLE_AGE_MS).toBeGreaterThan(age);
      expect(told).toBeLessThanOrEqual(age + 21 * TURN_MS);
    }
  });

  test('what a caller sends later is no older than two turns', async () => {
    const loop = new Loop();
    let arrival: Arrival | undefined;
    for (let count = 0; count < 50; count += 1) {
      arrival = await loop.accept();
    }
    await loop.accept();
    expect(loop.age(arrival)).toBe(0);
    await loop.turn(500);
    await loop.turn(500);
    expect(loop.age(undefined)).toBe(500);
  });
});
