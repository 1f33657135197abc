/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Which control boxes an edge asks for news where there are two regions. */
import {SilentDecisionLog} from 'puffinturn-decisions';
import {MemoryNetwork} from 'puffinturn-wire';
import {ManualClock, Random} from 'shared';

import type {BoxRecord, WatchReply, WatchRequest} from '../../index';
import {
  BOX_ROLE,
  FLEET_SERVICE,
  FleetNews,
  FleetWatch,
  Regions,
} from '../../index';

const HALLS = {e1: 'east', e2: 'east', w1: 'west', w2: 'west', w3: 'west'};
const CONTROLS = Object.keys(HALLS).map((hall): BoxRecord => ({
  box: `${hall}:control`,
  hall,
  incarnation: '1',
  role: BOX_ROLE.control,
}));
const ALL = CONTROLS.map(({box}) => box);

/** Takes news and keeps none. */
class NoNews extends FleetNews {
  override get configurationVersion(): number {
    return 1;
  }
  override get evacuationRevision(): number {
    return 0;
  }
  override configuration(): void {}
  override configurationChange(): void {}
  override evacuations(): void {}
  override get quarantineRevision(): number {
    return 0;
  }

  override quarantine(): void {}

  override get rolloutRevision(): number {
    return 0;
  }
  override rollouts(): void {}
  override upstreams(): void {}
  override boxes(): void {}
}

/** Control boxes that hold questions back, and an edge that asks them. */
class Watching {
  readonly clock = new ManualClock();
  readonly network = new MemoryNetwork(this.clock, new Random(3));
  /** Control boxes that hear no leader. */
  readonly leaderless = new Set<string>();
  private readonly asked = new Map<string, number>();

  constructor(
    readonly hall: string,
    readonly name: string,
    regions?: Regions,
  ) {
    for (const {box} of CONTROLS) {
      this.answerAt(box);
    }
    new FleetWatch({
      askedAtOnce: 2,
      clock: this.clock,
      link: this.network.connect(name),
      log: new SilentDecisionLog(),
      news: new NoNews(),
      regions,
      seeds: () => ALL,
      self: {box: name, hall, incarnation: '1', role: BOX_ROLE.edge},
    });
  }

  /** The boxes asked from now on within some seconds. */
  async askedWithin(ms: number): Promise<readonly string[]> {
    this.asked.clear();
    await this.clock.advance(ms);
    return [...this.asked.keys()].sort();
  }

  private answerAt(box: string): void {
    const link = this.network.connect(box);
    link.register(FLEET_SERVICE.watch, async (body) => {
      const {boxesRevision, waitMs} = body as WatchRequest;
      this.asked.set(box, (this.asked.get(box) ?? 0) + 1);
      if (boxesRevision === 1) {
        await this.clock.sleep(waitMs);
      }
      const reply: WatchReply = {
        boxes: {changed: CONTROLS, gone: []},
        boxesRevision: 1,
        configuration: undefined,
        configurationChange: undefined,
        current: true,
        evacuations: undefined,
        heldVersion: 1,
        incarnation: '1',
        leader: this.leaderless.has(box) ? undefined : 'w1:control',
        upstreams: [],
        upstreamsRevision: 0,
      };
      return reply;
    });
  }
}

function regionOf(box: string): string {
  return box.slice(0, 1);
}

describe('News in two regions', () => {
  const regions = new Regions(HALLS);

  test.each(['edge-1', 'edge-2', 'edge-3', 'edge-4', 'edge-5', 'edge-6'])(
    'come from two control boxes of the own region (%s)',
    async (name) => {
      for (const hall of ['e1', 'w2']) {
        const watching = new Watching(hall, name, regions);
        await watching.clock.advance(5_000);
        const asked = await watching.askedWithin(5_000);
        expect(asked.map(regionOf)).toEqual([hall, hall].map(regionOf));
        expect(asked).toContain(`${hall}:control`);
      }
    },
  );

  test('come in a hall without control boxes from the own region too', async () => {
    const withMore = new Regions({...HALLS, e3: 'east'});
    const watching = new Watching('e3', 'edge-1', withMore);
    await watching.clock.advance(5_000);
    const asked = await watching.askedWithin(5_000);
    expect(asked.map(regionOf)).toEqual(['e', 'e']);
  });

  test.each(['both ways', 'answers only'])(
    'come from the other region while the own one is silent (%s)',
    async (how) => {
      const watching = new Watching('e1', 'edge-1', regions);
      await watching.clock.advance(5_000);
      for (const box of ['e1:control', 'e2:control']) {
        watching.network.cut(box, 'edge-1');
        if (how === 'both ways') {
          watching.network.cut('edge-1', box);
        }
      }
      await watching.clock.advance(4_000);
      const asked = await watching.askedWithin(4_000);
      expect(asked.filter((box) => regionOf(box) === 'w')).toHaveLength(2);
      watching.network.heal();
      await watching.clock.advance(5_000);
      const later = await watching.askedWithin(5_000);
      expect(later.map(regionOf)).toEqual(['e', 'e']);
    },
  );

  test('come from the other region while the own one hears no leader', async () => {
    const watching = new Watching('e1', 'edge-1', regions);
    await watching.clock.advance(5_000);
    watching.leaderless.add('e1:control').add('e2:control');
    await watching.clock.advance(4_000);
    const asked = await watching.askedWithin(4_000);
    expect(asked.filter((box) => regionOf(box) === 'w')).toHaveLength(2);
  });

  test('come as before where no region is known', async () => {
    const spread = new Set<string>();
    for (const name of ['edge-1', 'edge-2', 'edge-3', 'edge-4', 'edge-5']) {
      const watching = new Watching('e1', name);
      await watching.clock.advance(5_000);
      for (const box of await watching.askedWithin(5_000)) {
        spread.add(regionOf(box));
      }
    }
    expect([...spread].sort()).toEqual(['e', 'w']);
  });
});
