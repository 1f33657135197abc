/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against overloaded edges that stay in service, and halls with too few edges. */
import {InMemoryDecisionLog} from 'puffinturn-decisions';
import type {BoxRecord} from 'puffinturn-fleet';
import {BOX_ROLE} from 'puffinturn-fleet';
import {MemoryNetwork} from 'puffinturn-wire';
import {ManualClock, Random} from 'shared';

import {OverloadWithdrawal} from '../../callers/OverloadWithdrawal';

/** A hall of edges whose queue ages are set by the test. */
class Hall {
  readonly clock = new ManualClock();
  readonly network = new MemoryNetwork(this.clock, new Random(7));
  readonly log = new InMemoryDecisionLog();
  readonly queueAgeMs = new Map<string, number>();
  readonly draining = new Set<string>();
  private readonly edges = new Map<string, OverloadWithdrawal>();
  private readonly records: readonly BoxRecord[];

  constructor(size: number) {
    this.records = Array.from({length: size}, (_, index) => ({
      box: `e-${index}`,
      hall: 'z',
      incarnation: '1',
      role: BOX_ROLE.edge,
    }));
    const inOtherHall = {...this.records[0], box: 'o', hall: 'y'} as BoxRecord;
    for (const self of this.records) {
      const edge = new OverloadWithdrawal({
        clock: this.clock,
        isServing: () => !this.draining.has(self.box),
        link: this.network.connect(self.box),
        log: this.log,
        otherEdges: () => [
          ...this.records.filter(({box}) => box !== self.box),
          inOtherHall,
        ],
        queueAgeMs: () => this.queueAgeMs.get(self.box) ?? 0,
        self,
      });
      this.edges.set(self.box, edge);
    }
  }

  overload(...boxes: readonly string[]): void {
    for (const box of boxes) {
      this.queueAgeMs.set(box, 2_000);
    }
  }

  recover(box: string): void {
    this.queueAgeMs.set(box, 0);
  }

  get withdrawn(): string[] {
    return [...this.edges].flatMap(([box, {isWithdrawn}]) =>
      isWithdrawn ? [box] : [],
    );
  }
}

const HALL_SIZE = 8;

describe('OverloadWithdrawal', () => {
  test('withdraws an overloaded edge if the others approve', async () => {
    const hall = new Hall(HALL_SIZE);
    await hall.clock.advance(1_000);
    expect(hall.withdrawn).toEqual([]);
    hall.overload('e-3');
    await hall.clock.advance(2_500);
    expect(hall.withdrawn).toEqual(['e-3']);
    expect(hall.log.decisions).toEqual([
      expect.objectContaining({agreed: 7, asked: 7, outcome: 'aside'}),
    ]);
  });

  test('sends no request after a short overload', async () => {
    const hall = new Hall(HALL_SIZE);
    hall.overload('e-3');
    await hall.clock.advance(600);
    hall.recover('e-3');
    await hall.clock.advance(2_000);
    expect(hall.log.decisions).toEqual([]);
  });

  test('observes the minimum withdrawal and the cooldown', async () => {
    const hall = new Hall(HALL_SIZE);
    hall.overload('e-3');
    await hall.clock.advance(1_000);
    hall.recover('e-3');
    await hall.clock.advance(3_000);
    expect(hall.withdrawn).toEqual(['e-3']);
    await hall.clock.advance(1_500);
    expect(hall.withdrawn).toEqual([]);
    hall.overload('e-3');
    await hall.clock.advance(25_000);
    expect(hall.withdrawn).toEqual([]);
    await hall.clock.advance(6_000);
    expect(hall.withdrawn).toEqual(['e-3']);
  });

  test('ends a withdrawal after the maximum duration despite overload', async () => {
    const hall = new Hall(HALL_SIZE);
    hall.overload('e-3');
    await hall.clock.advance(2_500);
    expect(hall.withdrawn).toEqual(['e-3']);
    await hall.clock.advance(8_500);
    expect(hall.withdrawn).toEqual([]);
  });

  test.each([1, 2, 3, 5, HALL_SIZE])(
    'withdraws at most a quarter when %d of eight edges are overloaded',
    async (count) => {
      const hall = new Hall(HALL_SIZE);
      hall.overload(...Array.from({length: count}, (_, index) => `e-${index}`));
      for (let step = 0; step < 600; step += 1) {
        await hall.clock.advance(100);
        expect(hall.withdrawn.length).toBeLessThanOrEqual(HALL_SIZE / 4);
      }
    },
  );

  test('withdraws no edge of a hall of three', async () => {
    const hall = new Hall(3);
    hall.overload('e-0');
    await hall.clock.advance(60_000);
    expect(hall.log.decisions).toEqual([]);
  });

  test('counts unreachable and draining edges as not approving', async () => {
    const hall = new Hall(HALL_SIZE);
    hall.network.disconnect('e-4');
    hall.draining.add('e-5');
    hall.overload('e-3');
    await hall.clock.advance(60_000);
    expect(hall.withdrawn).toEqual([]);
    expect(hall.log.decisions[0]).toMatchObject({
      agreed: 5,
      outcome: 'refused',
    });
  });
});
