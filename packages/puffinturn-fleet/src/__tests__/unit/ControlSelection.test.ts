/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against polling another region while the own region has healthy control boxes. */
import {NoopDecisionLog} from 'puffinturn-decisions';
import {MemoryNetwork} from 'puffinturn-wire';
import {ManualClock, Random} from 'shared';

import type {BoxRecord, WatchReply, WatchRequest} from '../../index';
import {
  BOX_ROLE,
  FLEET_SERVICE,
  FleetUpdateHandler,
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
const CONTROL_ADDRESSES = CONTROLS.map(({box}) => box);

/** Ignores all updates. */
class NullHandler extends FleetUpdateHandler {
  override get configurationVersion(): number {
    return 1;
  }
  override get evacuationRevision(): number {
    return 0;
  }
  override onConfiguration(): void {}
  override onConfigurationChange(): void {}
  override onEvacuations(): void {}
  override get quarantineRevision(): number {
    return 0;
  }

  override onQuarantine(): void {}

  override get rolloutRevision(): number {
    return 0;
  }
  override onRollouts(): void {}
  override get versionsRevision(): number {
    return Infinity;
  }

  override onVersions(): void {}

  override onUpstreams(): void {}
  override onBoxes(): void {}
}

/** Control boxes that delay their replies, and an edge that polls them. */
class EdgeWatchFixture {
  readonly clock = new ManualClock();
  readonly network = new MemoryNetwork(this.clock, new Random(3));
  /** Control boxes that know no leader. */
  readonly leaderless = new Set<string>();
  private readonly requestCounts = new Map<string, number>();

  constructor(
    readonly hall: string,
    readonly name: string,
    regions?: Regions,
  ) {
    for (const {box} of CONTROLS) {
      this.serveWatch(box);
    }
    new FleetWatch({
      maxPolledControls: 2,
      clock: this.clock,
      link: this.network.connect(name),
      log: new NoopDecisionLog(),
      updateHandler: new NullHandler(),
      regions,
      seeds: () => CONTROL_ADDRESSES,
      self: {box: name, hall, incarnation: '1', role: BOX_ROLE.edge},
    });
  }

  /** Returns the control boxes that the edge polls within the next `ms`. */
  async polledWithin(ms: number): Promise<readonly string[]> {
    this.requestCounts.clear();
    await this.clock.advance(ms);
    return [...this.requestCounts.keys()].sort();
  }

  private serveWatch(box: string): void {
    const link = this.network.connect(box);
    link.register(FLEET_SERVICE.watch, async (body) => {
      const {boxesRevision, waitMs} = body as WatchRequest;
      this.requestCounts.set(box, (this.requestCounts.get(box) ?? 0) + 1);
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

describe('Control box selection in two regions', () => {
  const regions = new Regions(HALLS);

  test.each(['edge-1', 'edge-2', 'edge-3', 'edge-4', 'edge-5', 'edge-6'])(
    'polls two control boxes of the own region (%s)',
    async (name) => {
      for (const hall of ['e1', 'w2']) {
        const fixture = new EdgeWatchFixture(hall, name, regions);
        await fixture.clock.advance(5_000);
        const polled = await fixture.polledWithin(5_000);
        expect(polled.map(regionOf)).toEqual([hall, hall].map(regionOf));
        expect(polled).toContain(`${hall}:control`);
      }
    },
  );

  test('polls the own region from a hall without control boxes', async () => {
    const regionsWithThirdHall = new Regions({...HALLS, e3: 'east'});
    const fixture = new EdgeWatchFixture('e3', 'edge-1', regionsWithThirdHall);
    await fixture.clock.advance(5_000);
    const polled = await fixture.polledWithin(5_000);
    expect(polled.map(regionOf)).toEqual(['e', 'e']);
  });

  test.each(['both ways', 'answers only'])(
    'polls the other region while the own one is unreachable (%s)',
    async (direction) => {
      const fixture = new EdgeWatchFixture('e1', 'edge-1', regions);
      await fixture.clock.advance(5_000);
      for (const box of ['e1:control', 'e2:control']) {
        fixture.network.dropMessages(box, 'edge-1');
        if (direction === 'both ways') {
          fixture.network.dropMessages('edge-1', box);
        }
      }
      await fixture.clock.advance(4_000);
      const polled = await fixture.polledWithin(4_000);
      expect(polled.filter((box) => regionOf(box) === 'w')).toHaveLength(2);
      fixture.network.heal();
      await fixture.clock.advance(5_000);
      const polledAfterHeal = await fixture.polledWithin(5_000);
      expect(polledAfterHeal.map(regionOf)).toEqual(['e', 'e']);
    },
  );

  test('polls the other region while the own one knows no leader', async () => {
    const fixture = new EdgeWatchFixture('e1', 'edge-1', regions);
    await fixture.clock.advance(5_000);
    fixture.leaderless.add('e1:control').add('e2:control');
    await fixture.clock.advance(4_000);
    const polled = await fixture.polledWithin(4_000);
    expect(polled.filter((box) => regionOf(box) === 'w')).toHaveLength(2);
  });

  test('polls both regions when no regions are configured', async () => {
    const polledRegions = new Set<string>();
    for (const name of ['edge-1', 'edge-2', 'edge-3', 'edge-4', 'edge-5']) {
      const fixture = new EdgeWatchFixture('e1', name);
      await fixture.clock.advance(5_000);
      for (const box of await fixture.polledWithin(5_000)) {
        polledRegions.add(regionOf(box));
      }
    }
    expect([...polledRegions].sort()).toEqual(['e', 'w']);
  });
});
