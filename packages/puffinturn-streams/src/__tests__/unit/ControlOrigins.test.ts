/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against streams whose version is lost with all edges at once. */
import {MemoryNetwork} from 'puffinturn-wire';
import {ManualClock, Random} from 'shared';

import type {KnownVersions} from '../../ControlOrigins';
import {ControlOrigins} from '../../ControlOrigins';
import type {Lookup, OriginQuery} from '../../Lookup';
import {LOOKUP} from '../../Lookup';
import {FIND_TIMEOUT_MS, SECOND_FIND_TIMEOUT_MS} from '../../StreamConstants';
import {streamKey} from '../../StreamOrigin';
import {StreamOrigins} from '../../StreamOrigins';

const LIFETIME_MS = 30_000;
/** The longest lookup, and some time for its messages, ms. */
const LOOKUP_MS = FIND_TIMEOUT_MS + SECOND_FIND_TIMEOUT_MS + 10;
const EDGES = ['e1', 'e2', 'e3', 'e4'].map((box) => ({box, hall: 'a'}));
const CONTROLS = ['c1', 'c2', 'c3', 'c4', 'c5'];
const KEY = streamKey('t', 'q');

/** Edges and control boxes over a simulated network. */
class Fleet {
  readonly clock = new ManualClock();
  private readonly network = new MemoryNetwork(this.clock, new Random(1));
  private readonly edges = new Map<string, StreamOrigins>();
  private readonly controls = new Map<string, ControlOrigins>();
  known: KnownVersions | undefined = {
    controlBoxes: CONTROLS.length,
    hasSeenSecond: true,
    versions: ['v1', 'v2'],
  };

  constructor() {
    this.startControls(CONTROLS);
    this.restartEdges();
  }

  startControls(boxes: readonly string[]): void {
    for (const box of boxes) {
      const {clock} = this;
      this.controls.set(
        box,
        new ControlOrigins({
          clock,
          lifetimeMs: () => LIFETIME_MS,
          link: this.network.connect(box),
          versionsOf: () => this.known,
        }),
      );
    }
  }

  restartEdges(): void {
    for (const self of EDGES) {
      const {clock} = this;
      this.edges.set(
        self.box,
        new StreamOrigins({
          areInSameRegion: () => true,
          clock,
          controlBoxes: () => CONTROLS,
          hasVersionLease: () => false,
          versionLeaseMs: () => 0,
          lifetimeMs: () => LIFETIME_MS,
          link: this.network.connect(self.box),
          peers: () => EDGES.filter((edge) => edge !== self),
          self,
          versionsRevision: () => 1,
        }),
      );
    }
  }

  kill(...boxes: readonly string[]): void {
    boxes.forEach((box) => this.network.disconnect(box));
  }

  /** Delays all messages of edges to some boxes for a time. */
  delayFor(ms: number, to = [...CONTROLS, ...EDGES.map(({box}) => box)]): void {
    for (const {box} of EDGES) {
      to.forEach((other) => this.network.holdMessages(box, other));
    }
    this.clock.startTimer(ms, () => this.network.heal());
  }

  /** Control boxes that have an origin. */
  get holders(): string[] {
    return CONTROLS.filter((box) => this.controls.get(box)?.size === 1);
  }

  async replicate(edge: string): Promise<void> {
    const origin = {attempt: 1, key: KEY, service: 's', version: 'v1'};
    this.edges.get(edge)?.replicate(origin);
    await new Promise(setImmediate);
    await this.clock.advance(2_500);
  }

  find(
    edge: string,
    unsureMs = Infinity,
    waitMs = LOOKUP_MS,
  ): Promise<Lookup | undefined> {
    return this.lookUp(edge, {key: KEY, service: 's', unsureMs}, waitMs);
  }

  findUnnamed(edge: string): Promise<Lookup | undefined> {
    const unsureMs = Infinity;
    return this.lookUp(edge, {key: undefined, service: 's', unsureMs});
  }

  private async lookUp(
    edge: string,
    query: OriginQuery,
    waitMs = LOOKUP_MS,
  ): Promise<Lookup | undefined> {
    let found: Lookup | undefined;
    void this.edges
      .get(edge)
      ?.find(query)
      .then((lookup) => (found = lookup));
    await this.clock.advance(waitMs);
    return found;
  }
}

describe('Origins at control boxes', () => {
  test('are found after all edges and any two control boxes were killed', async () => {
    for (const first of CONTROLS) {
      for (const second of CONTROLS.filter((box) => box > first)) {
        const fleet = new Fleet();
        await fleet.replicate('e1');
        fleet.restartEdges();
        fleet.kill(first, second);
        const lookup = await fleet.find('e2');
        expect(lookup).toMatchObject({kind: LOOKUP.found});
      }
    }
  });

  test('are found by a second lookup if the first replies come too late', async () => {
    const fleet = new Fleet();
    await fleet.replicate('e1');
    fleet.restartEdges();
    fleet.delayFor(FIND_TIMEOUT_MS + 50);
    expect(await fleet.find('e3')).toMatchObject({kind: LOOKUP.found});
  });

  test('are found by a second lookup if only the boxes that hold them reply too late', async () => {
    const fleet = new Fleet();
    await fleet.replicate('e1');
    fleet.restartEdges();
    fleet.delayFor(FIND_TIMEOUT_MS + 50, fleet.holders);
    expect(await fleet.find('e3')).toMatchObject({kind: LOOKUP.found});
  });

  test('are not looked up again if all boxes replied', async () => {
    const fleet = new Fleet();
    fleet.known = {
      controlBoxes: 5,
      hasSeenSecond: false,
      versions: ['v1', 'v2'],
    };
    const lookup = await fleet.find('e1', Infinity, FIND_TIMEOUT_MS / 2);
    expect(lookup?.kind).toBe(LOOKUP.unknown);
  });

  test('are stored at another one if one does not reply', async () => {
    const fleet = new Fleet();
    fleet.kill('c1', 'c2');
    await fleet.replicate('e1');
    fleet.restartEdges();
    expect(fleet.holders.length).toBeGreaterThanOrEqual(1);
    expect(await fleet.find('e3')).toMatchObject({kind: LOOKUP.found});
  });

  test('that do not exist are absent if enough boxes have seen the second version', async () => {
    const fleet = new Fleet();
    expect(await fleet.find('e1')).toEqual({
      hasNoGap: true,
      kind: LOOKUP.absent,
      versions: ['v1', 'v2'],
      versionsRevision: 1,
    });
    fleet.kill('c1', 'c2');
    expect((await fleet.find('e1'))?.kind).toBe(LOOKUP.absent);
    fleet.kill('c3');
    expect((await fleet.find('e1'))?.kind).toBe(LOOKUP.unknown);
  });

  test('may have been lost by boxes that have not seen the second version come', async () => {
    const fleet = new Fleet();
    fleet.known = {
      controlBoxes: 5,
      hasSeenSecond: false,
      versions: ['v1', 'v2'],
    };
    expect((await fleet.find('e1'))?.kind).toBe(LOOKUP.unknown);
    await fleet.clock.advance(LIFETIME_MS);
    expect((await fleet.find('e1'))?.kind).toBe(LOOKUP.absent);
  });

  test('may have been lost by boxes that were out of contact', async () => {
    const fleet = new Fleet();
    await fleet.clock.advance(LIFETIME_MS);
    fleet.known = undefined;
    expect(await fleet.find('e1')).toEqual({
      hasNoGap: true,
      kind: LOOKUP.absent,
      versions: undefined,
      versionsRevision: 1,
    });
    fleet.startControls(CONTROLS);
    fleet.restartEdges();
    expect((await fleet.find('e1'))?.kind).toBe(LOOKUP.unknown);
  });

  test('are not waited for if a control box lists a single version', async () => {
    const fleet = new Fleet();
    fleet.known = {controlBoxes: 5, hasSeenSecond: false, versions: ['v1']};
    fleet.kill('c1', 'c2', 'c3', 'c4');
    expect(await fleet.find('e1')).toEqual({
      kind: LOOKUP.absent,
      versions: ['v1'],
    });
  });

  test('of streams without a name are not found, but edges tell what they know', async () => {
    const fleet = new Fleet();
    fleet.kill(...CONTROLS);
    expect(await fleet.findUnnamed('e1')).toEqual({
      kind: LOOKUP.unknown,
      listShare: 1,
      versions: undefined,
      versionsRevision: 1,
    });
  });

  test('of streams without a name are never taken for absent', async () => {
    const fleet = new Fleet();
    await fleet.clock.advance(LIFETIME_MS);
    expect((await fleet.findUnnamed('e1'))?.kind).toBe(LOOKUP.unknown);
    fleet.known = {controlBoxes: 5, hasSeenSecond: false, versions: ['v1']};
    expect((await fleet.findUnnamed('e1'))?.kind).toBe(LOOKUP.unknown);
    fleet.kill(...CONTROLS);
    expect((await fleet.findUnnamed('e1'))?.kind).toBe(LOOKUP.unknown);
  });

  test('are absent if edges have run for longer than the stream can be unknown', async () => {
    const fleet = new Fleet();
    fleet.kill(...CONTROLS);
    await fleet.clock.advance(1_000);
    expect((await fleet.find('e1', 900))?.kind).toBe(LOOKUP.absent);
    expect((await fleet.find('e1', 9_000))?.kind).toBe(LOOKUP.unknown);
  });
});
