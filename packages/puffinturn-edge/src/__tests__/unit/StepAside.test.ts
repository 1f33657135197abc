/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {KeptDecisionLog} from 'puffinturn-decisions';
import type {BoxRecord} from 'puffinturn-fleet';
import {BOX_ROLE} from 'puffinturn-fleet';
import {MemoryNetwork} from 'puffinturn-wire';
import {ManualClock, Random} from 'shared';

import {StepAside} from '../../callers/StepAside';

/** A hall of edges that are behind as a test says. */
class Hall {
  readonly clock = new ManualClock();
  readonly network = new MemoryNetwork(this.clock, new Random(7));
  readonly log = new KeptDecisionLog();
  readonly ageMs = new Map<string, number>();
  readonly stopping = new Set<string>();
  private readonly edges = new Map<string, StepAside>();
  private readonly records: readonly BoxRecord[];

  constructor(size: number) {
    this.records = Array.from({length: size}, (_, at) => ({
      box: `e-${at}`,
      hall: 'z',
      incarnation: '1',
      role: BOX_ROLE.edge,
    }));
    const elsewhere = {...this.records[0], box: 'o', hall: 'y'} as BoxRecord;
    for (const self of this.records) {
      const edge = new StepAside({
        ageMs: () => this.ageMs.get(self.box) ?? 0,
        clock: this.clock,
        edges: () => [
          ...this.records.filter(({box}) => box !== self.box),
          elsewhere,
        ],
        link: this.network.connect(self.box),
        log: this.log,
        ready: () => !this.stopping.has(self.box),
        self,
      });
      this.edges.set(self.box, edge);
    }
  }

  behind(...boxes: readonly string[]): void {
    for (const box of boxes) {
      this.ageMs.set(box, 2_000);
    }
  }

  caughtUp(box: string): void {
    this.ageMs.set(box, 0);
  }

  get aside(): string[] {
    return [...this.edges].flatMap(([box, {aside}]) => (aside ? [box] : []));
  }
}

const SIZE = 8;

describe('StepAside', () => {
  test('an edge that is behind steps aside where the others are well', async () => {
    const hall = new Hall(SIZE);
    await hall.clock.advance(1_000);
    expect(hall.aside).toEqual([]);
    hall.behind('e-3');
    await hall.clock.advance(2_500);
    expect(hall.aside).toEqual(['e-3']);
    expect(hall.log.lines).toEqual([
      expect.objectContaining({agreed: 7, asked: 7, outcome: 'aside'}),
    ]);
  });

  test('one that was behind for a moment asks nobody', async () => {
    const hall = new Hall(SIZE);
    hall.behind('e-3');
    await hall.clock.advance(600);
    hall.caughtUp('e-3');
    await hall.clock.advance(2_000);
    expect(hall.log.lines).toEqual([]);
  });

  test('it stays aside for some seconds, and then in for longer', async () => {
    const hall = new Hall(SIZE);
    hall.behind('e-3');
    await hall.clock.advance(1_000);
    hall.caughtUp('e-3');
    await hall.clock.advance(3_000);
    expect(hall.aside).toEqual(['e-3']);
    await hall.clock.advance(1_500);
    expect(hall.aside).toEqual([]);
    hall.behind('e-3');
    await hall.clock.advance(25_000);
    expect(hall.aside).toEqual([]);
    await hall.clock.advance(6_000);
    expect(hall.aside).toEqual(['e-3']);
  });

  test('it comes back after a while however far it is behind', async () => {
    const hall = new Hall(SIZE);
    hall.behind('e-3');
    await hall.clock.advance(2_500);
    expect(hall.aside).toEqual(['e-3']);
    await hall.clock.advance(8_500);
    expect(hall.aside).toEqual([]);
  });

  test.each([1, 2, 3, 5, SIZE])(
    '%d of eight behind: never more than a quarter aside',
    async (count) => {
      const hall = new Hall(SIZE);
      hall.behind(...Array.from({length: count}, (_, at) => `e-${at}`));
      for (let look = 0; look < 600; look += 1) {
        await hall.clock.advance(100);
        expect(hall.aside.length).toBeLessThanOrEqual(SIZE / 4);
      }
    },
  );

  test('no hall of three is left with two', async () => {
    const hall = new Hall(3);
    hall.behind('e-0');
    await hall.clock.advance(60_000);
    expect(hall.log.lines).toEqual([]);
  });

  test('others that do not answer, or stop, are no help', async () => {
    const hall = new Hall(SIZE);
    hall.network.disconnect('e-4');
    hall.stopping.add('e-5');
    hall.behind('e-3');
    await hall.clock.advance(60_000);
    expect(hall.aside).toEqual([]);
    expect(hall.log.lines[0]).toMatchObject({agreed: 5, outcome: 'refused'});
  });
});
