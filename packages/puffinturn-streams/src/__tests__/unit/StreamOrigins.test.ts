/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against streams whose version is lost with the box that served them. */
import {MemoryNetwork} from 'puffinturn-wire';
import {ManualClock, Random} from 'shared';

import type {Lookup} from '../../Lookup';
import {LOOKUP} from '../../Lookup';
import type {ReplicaBox} from '../../ReplicaSelector';
import {
  FIND_TIMEOUT_MS,
  MAX_ORIGINS,
  SECOND_FIND_TIMEOUT_MS,
  SHARED_LOOKUP_INTERVAL_MS,
} from '../../StreamConstants';
import {streamKey} from '../../StreamOrigin';
import {StreamOrigins} from '../../StreamOrigins';

const LIFETIME_MS = 30_000;
/** The longest lookup, and some time for its messages, ms. */
const LOOKUP_MS = FIND_TIMEOUT_MS + SECOND_FIND_TIMEOUT_MS + 10;
const BOXES: readonly ReplicaBox[] = [
  {box: 'a1', hall: 'a'},
  {box: 'a2', hall: 'a'},
  {box: 'b1', hall: 'b'},
  {box: 'b2', hall: 'b'},
  {box: 'c1', hall: 'c'},
  {box: 'c2', hall: 'c'},
];
const STREAMS = Array.from({length: 40}, (_, at) => streamKey('t', `q${at}`));

/** Boxes over a simulated network. */
class Fleet {
  readonly clock = new ManualClock();
  readonly network = new MemoryNetwork(this.clock, new Random(1));
  readonly origins = new Map<string, StreamOrigins>();
  /** Revisions of the lists that boxes know if it is not 0. */
  readonly revisions = new Map<string, number>();
  /** For how long boxes had a lease without a gap if it is not 0, ms. */
  readonly leases = new Map<string, number>();
  /** The box that may take its list for complete. */
  leaseHolder: string | undefined;
  /** The boxes that replied to a question. */
  readonly asked: string[] = [];

  constructor(
    private readonly boxes: readonly ReplicaBox[] = BOXES,
    private readonly areInSameRegion = () => true,
  ) {
    boxes.forEach(({box}) => this.start(box));
  }

  /** Starts a box, or restarts it without its memory. */
  start(box: string): void {
    const self = this.boxes.find((other) => other.box === box);
    const peers = this.boxes.filter((other) => other !== self);
    if (self !== undefined) {
      const {areInSameRegion, clock} = this;
      this.origins.set(
        box,
        new StreamOrigins({
          areInSameRegion,
          clock,
          controlBoxes: () => [],
          hasVersionLease: () => {
            this.asked.push(box);
            return this.leaseHolder === box;
          },
          lifetimeMs: () => LIFETIME_MS,
          link: this.network.connect(box),
          peers: () => peers,
          self,
          versionLeaseMs: () => this.leases.get(box) ?? 0,
          versionsRevision: () => this.revisions.get(box) ?? 0,
        }),
      );
    }
  }

  kill(box: string): void {
    this.network.disconnect(box);
  }

  at(box: string): StreamOrigins {
    const origins = this.origins.get(box);
    if (origins === undefined) {
      throw new Error(`no box ${box}`);
    }
    return origins;
  }

  /** Replicates origins of all streams from one box, and waits until they are stored. */
  async begin(box: string, version: string, attempt = 1): Promise<void> {
    for (const key of STREAMS) {
      this.at(box).replicate({attempt, key, service: 's', version});
    }
    await new Promise(setImmediate);
    await this.clock.advance(50);
  }

  async find(box: string, key: string): Promise<Lookup | undefined> {
    const [lookup] = await this.findAll(box, [key]);
    return lookup;
  }

  async findAll(
    box: string,
    keys: readonly string[] = STREAMS,
  ): Promise<Lookup[]> {
    const lookups = Promise.all(
      keys.map((key) =>
        this.at(box).find({key, service: 's', unsureMs: Infinity}),
      ),
    );
    await this.clock.advance(LOOKUP_MS);
    return lookups;
  }
}

const UNNAMED = {key: undefined, service: 's', unsureMs: Infinity};

/** Looks up which lists of versions all boxes know, at the first box. */
async function findLists(fleet: Fleet): Promise<Lookup> {
  const lookup = fleet.at('a1').find(UNNAMED);
  await fleet.clock.advance(LOOKUP_MS);
  return lookup;
}

function versionsOf(lookups: readonly Lookup[]): string[] {
  return [
    ...new Set(
      lookups.map((lookup) =>
        lookup.kind === LOOKUP.found ? lookup.origin.version : lookup.kind,
      ),
    ),
  ];
}

describe('Origins of streams', () => {
  test('are found at each other box after the one that served them died', async () => {
    const fleet = new Fleet();
    await fleet.begin('a1', 'v1');
    fleet.kill('a1');
    for (const box of ['a2', 'b1', 'c2']) {
      expect(versionsOf(await fleet.findAll(box))).toEqual(['v1']);
    }
  });

  test('are found after the one that served them died with any other', async () => {
    for (const second of ['a2', 'b1', 'b2', 'c1', 'c2']) {
      const fleet = new Fleet();
      await fleet.begin('a1', 'v1');
      fleet.kill('a1');
      fleet.kill(second);
      const asking = second === 'c2' ? 'c1' : 'c2';
      expect(versionsOf(await fleet.findAll(asking))).toEqual(['v1']);
    }
  });

  test('are found after a whole hall died with the one that served them', async () => {
    const fleet = new Fleet();
    await fleet.begin('a1', 'v1');
    fleet.kill('a1');
    fleet.kill('a2');
    expect(versionsOf(await fleet.findAll('b1'))).toEqual(['v1']);
  });

  test('name the version of the last attempt, in whatever order they are stored', async () => {
    const fleet = new Fleet();
    await fleet.begin('a1', 'v2', 2);
    await fleet.begin('a1', 'v1', 1);
    expect(versionsOf(await fleet.findAll('b1'))).toEqual(['v2']);
  });

  test('are sent to others at once if they become needed', async () => {
    const fleet = new Fleet();
    const [key = ''] = STREAMS;
    const origin = {attempt: 1, key, service: 's', version: 'v1'};
    fleet.at('a1').remember(origin);
    fleet.at('a1').remember({...origin, key: STREAMS[1] ?? '', service: 'o'});
    expect(fleet.at('a1').replicateService('s')).toBe(1);
    await new Promise(setImmediate);
    await fleet.clock.advance(50);
    fleet.kill('a1');
    expect(versionsOf(await fleet.findAll('b1', [key]))).toEqual(['v1']);
  });

  test('are found from another region', async () => {
    const regionOf = (hall: string): boolean => hall === 'c';
    const fleet = new Fleet(
      BOXES,
      ((hall: string, other: string) =>
        regionOf(hall) === regionOf(other)) as () => boolean,
    );
    await fleet.begin('a1', 'v1');
    fleet.kill('a1');
    expect(versionsOf(await fleet.findAll('c1'))).toEqual(['v1']);
  });

  test('are forgotten after their lifetime', async () => {
    const fleet = new Fleet();
    await fleet.begin('a1', 'v1');
    await fleet.clock.advance(LIFETIME_MS);
    expect(versionsOf(await fleet.findAll('b1'))).toEqual([LOOKUP.absent]);
  });

  test('are bounded in number, the oldest dropped first', () => {
    const fleet = new Fleet();
    for (let at = 0; at <= MAX_ORIGINS; at += 1) {
      const key = `k${at}`;
      const origin = {attempt: 1, key, service: 's', version: 'v1'};
      fleet.at('a1').remember(origin);
    }
    expect(fleet.at('a1').replicateService('s')).toBe(MAX_ORIGINS);
  });

  test('of another team are not found by an ID', () => {
    expect(streamKey('t', 'q')).not.toBe(streamKey('u', 'q'));
    expect(streamKey('t', 'x'.repeat(65_536))).toHaveLength(22);
  });
});

describe('A lookup without an origin', () => {
  test('is sure only if enough boxes have run for the lifetime of origins', async () => {
    const fleet = new Fleet();
    const [key = ''] = STREAMS;
    expect((await fleet.find('b1', key))?.kind).toBe(LOOKUP.unknown);
    await fleet.clock.advance(LIFETIME_MS);
    expect((await fleet.find('b1', key))?.kind).toBe(LOOKUP.absent);
  });

  // Two candidates that were cut off together missed all copies, and told that there were none.
  test('does not rely on boxes that may have missed copies while they had no lease', async () => {
    const fleet = new Fleet();
    await fleet.clock.advance(LIFETIME_MS);
    const absent = {kind: LOOKUP.absent};
    for (const {box} of BOXES) {
      fleet.leases.set(box, LIFETIME_MS - 1);
    }
    for (const lookup of await fleet.findAll('b1')) {
      expect(lookup).toMatchObject({...absent, hasNoGap: false});
    }
    for (const {box} of BOXES) {
      fleet.leases.set(box, LIFETIME_MS);
    }
    for (const lookup of await fleet.findAll('b1')) {
      expect(lookup).toMatchObject({...absent, hasNoGap: true});
    }
  });

  test('is not sure after the boxes that may have had it were restarted', async () => {
    const fleet = new Fleet();
    await fleet.clock.advance(LIFETIME_MS);
    BOXES.filter(({box}) => box !== 'b1').forEach(({box}) => fleet.start(box));
    const kinds = (await fleet.findAll('b1')).map(({kind}) => kind);
    expect([...new Set(kinds)]).toEqual([LOOKUP.unknown]);
  });

  test('tells whether any other box replied', async () => {
    const fleet = new Fleet();
    BOXES.filter(({box}) => box !== 'b1').forEach(({box}) => fleet.kill(box));
    const kinds = (await fleet.findAll('b1')).map(({kind}) => kind);
    expect([...new Set(kinds)]).toEqual([LOOKUP.unreachable]);
  });

  test('of a fleet of one box is answered by that box', async () => {
    const fleet = new Fleet([{box: 'a1', hall: 'a'}]);
    expect((await fleet.find('a1', 'k'))?.kind).toBe(LOOKUP.unknown);
  });
});

describe('Lists of versions', () => {
  test('of all boxes are asked for, the newest one decides', async () => {
    const fleet = new Fleet();
    for (const {box} of BOXES.slice(1)) {
      fleet.revisions.set(box, 2);
      expect(await findLists(fleet)).toMatchObject({
        listShare: 1,
        versionsRevision: 2,
      });
      fleet.revisions.clear();
    }
  });

  test('do not count if a box is dead, or has none since it started', async () => {
    const fleet = new Fleet();
    fleet.revisions.set('b1', -Infinity);
    expect(await findLists(fleet)).toMatchObject({listShare: 5 / 6});
    fleet.kill('c1');
    fleet.kill('c2');
    expect(await findLists(fleet)).toMatchObject({listShare: 3 / 6});
  });

  test('are complete if one of them may be taken for complete', async () => {
    const fleet = new Fleet();
    fleet.kill('c1');
    fleet.leaseHolder = 'b2';
    expect(await findLists(fleet)).toMatchObject({hasLease: true});
  });

  // Each resumption asked every edge, so a fleet that lost the core was flooded with questions.
  test('are asked for once for all resumptions of some time', async () => {
    const fleet = new Fleet();
    const lookups = STREAMS.map(async () => findLists(fleet));
    expect(await Promise.all(lookups)).toHaveLength(STREAMS.length);
    await fleet.clock.advance(SHARED_LOOKUP_INTERVAL_MS);
    const others = BOXES.length - 1;
    expect(fleet.asked.length).toBeLessThanOrEqual(2 * others);
  });

  test('are not taken from replies to questions from before a resumption', async () => {
    const fleet = new Fleet();
    fleet.leaseHolder = 'b1';
    const first = fleet.at('a1').find(UNNAMED);
    const second = fleet.at('a1').find(UNNAMED);
    await fleet.clock.advance(LOOKUP_MS / 10);
    expect(await first).toMatchObject({hasLease: true});
    fleet.leaseHolder = undefined;
    fleet.kill('c1');
    await fleet.clock.advance(LOOKUP_MS + SHARED_LOOKUP_INTERVAL_MS);
    expect(await second).toMatchObject({listShare: 5 / 6});
  });

  test('of other regions are asked for only if none of the own one is complete', async () => {
    const isFar = (hall: string): boolean => hall === 'c';
    const fleet = new Fleet(
      BOXES,
      ((hall: string, other: string) =>
        isFar(hall) === isFar(other)) as () => boolean,
    );
    fleet.leaseHolder = 'b1';
    expect(await findLists(fleet)).toMatchObject({hasLease: true});
    expect(fleet.asked).not.toContain('c1');
    fleet.leaseHolder = 'c1';
    expect(await findLists(fleet)).toMatchObject({hasLease: true});
    fleet.leaseHolder = undefined;
    expect(await findLists(fleet)).toMatchObject({listShare: 1});
    fleet.kill('c2');
    expect(await findLists(fleet)).toMatchObject({listShare: 5 / 6});
  });
});
