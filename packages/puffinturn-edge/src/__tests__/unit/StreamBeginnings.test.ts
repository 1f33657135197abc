/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against streams that begin at a new version while an edge that has not heard of it
 * may still take its list of versions for complete, and would continue them at another one.
 */
import type {RegisteredVersion} from 'puffinturn-fleet';
import {
  RETRY_POLICY,
  UPSTREAM_STATE,
  VERSION_HOLD_MS,
  VERSION_LEASE_MS,
  VersionAges,
} from 'puffinturn-fleet';
import {ManualClock} from 'shared';

import {upstreamsForBeginning} from '../../streams/StreamBeginnings';
import {VersionHistory} from '../../streams/VersionHistory';
import type {EdgeUpstream} from '../../upstreams/EdgeUpstream';
import {createRoute} from '../utils/ForwardingFixture';

const LIFETIME_MS = 30_000;
const STEP_MS = 50;
const ROUTE = createRoute('stream', {repetition: RETRY_POLICY.resumable});

class Fixture {
  readonly clock = new ManualClock();
  readonly history = new VersionHistory(this.clock, () => LIFETIME_MS);
  readonly ages = new VersionAges(this.clock);
  private readonly control: RegisteredVersion[] = [];
  private revision = 0;

  /** A control box stores a version. */
  store(version: string): void {
    this.revision += 1;
    const number = this.control.length + 1;
    this.control.push({number, service: 's', version});
    this.ages.note({revision: this.revision, versions: this.control});
  }

  /** A control box stores versions, and the edge gets the list after each. */
  list(...versions: string[]): void {
    for (const version of versions) {
      this.store(version);
      this.sendList();
    }
  }

  /** An edge gets the list of the control box. */
  sendList(history = this.history): void {
    const list = {revision: this.revision, versions: [...this.control]};
    history.applyRegistered(this.ages.withAges(list), true);
  }

  addUpstreams(...versions: string[]): void {
    const state = UPSTREAM_STATE.ready;
    this.history.update(
      versions.map((version) => ({service: 's', state, version})),
    );
  }

  /** The versions of given upstreams at which a stream may begin. */
  begun(versions: string[], history = this.history, route = ROUTE): string[] {
    const upstreams = versions.map((version) => ({version}) as EdgeUpstream);
    return upstreamsForBeginning(history, route, 's', upstreams).map(
      ({version}) => version,
    );
  }
}

describe('Streams begin', () => {
  test('at a new version only once no list without it counts as complete', async () => {
    const fixture = new Fixture();
    fixture.list('v1');
    await fixture.clock.advance(1_000);
    fixture.store('v2');
    // A list without v2 was confirmed no later than this.
    const confirmedAt = fixture.clock.now();
    await fixture.clock.advance(300);
    fixture.sendList();
    while (!fixture.begun(['v1', 'v2']).includes('v2')) {
      expect(fixture.begun(['v1', 'v2'])).toEqual(['v1']);
      expect(fixture.begun(['v2'])).toEqual([]);
      await fixture.clock.advance(STEP_MS);
    }
    const ageMs = fixture.clock.now() - confirmedAt;
    expect(ageMs).toBeGreaterThanOrEqual(VERSION_LEASE_MS + 1_000);
    expect(ageMs).toBeLessThanOrEqual(VERSION_HOLD_MS + STEP_MS);
  });

  test('at each of two versions in a row after a time of its own', async () => {
    const fixture = new Fixture();
    fixture.list('v1', 'v2');
    await fixture.clock.advance(VERSION_HOLD_MS - 100);
    fixture.list('v3');
    await fixture.clock.advance(100);
    expect(fixture.begun(['v1', 'v2', 'v3'])).toEqual(['v1', 'v2']);
    await fixture.clock.advance(VERSION_HOLD_MS - 100);
    expect(fixture.begun(['v1', 'v2', 'v3'])).toEqual(['v1', 'v2', 'v3']);
  });

  test('at once at the first version, and after a start at versions long listed', async () => {
    const fixture = new Fixture();
    fixture.list('v1');
    expect(fixture.begun(['v1'])).toEqual(['v1']);
    fixture.store('v2');
    await fixture.clock.advance(VERSION_HOLD_MS);
    const started = new VersionHistory(fixture.clock, () => LIFETIME_MS);
    fixture.sendList(started);
    expect(fixture.begun(['v1', 'v2'], started)).toEqual(['v1', 'v2']);
    fixture.store('v3');
    const later = new VersionHistory(fixture.clock, () => LIFETIME_MS);
    fixture.sendList(later);
    expect(fixture.begun(['v2', 'v3'], later)).toEqual(['v2']);
  });

  test('at a version that could not be stored only where no other serves', async () => {
    const fixture = new Fixture();
    fixture.list('v1');
    fixture.addUpstreams('v1', 'v2');
    expect(fixture.begun(['v2'])).toEqual([]);
    await fixture.clock.advance(VERSION_HOLD_MS);
    expect(fixture.begun(['v1', 'v2'])).toEqual(['v1']);
    expect(fixture.begun(['v2'])).toEqual(['v2']);
  });

  test('that callers can not resume at any version at once', () => {
    const fixture = new Fixture();
    fixture.list('v1', 'v2');
    const route = createRoute('look');
    expect(fixture.begun(['v1', 'v2'], fixture.history, route)).toEqual([
      'v1',
      'v2',
    ]);
  });

  test('at an edge that was handed the list no sooner than at the other one', async () => {
    const fixture = new Fixture();
    fixture.list('v1', 'v2');
    await fixture.clock.advance(VERSION_HOLD_MS - 100);
    const started = new VersionHistory(fixture.clock, () => LIFETIME_MS);
    const list = fixture.history.handedOver;
    expect(list).toBeDefined();
    if (list !== undefined) {
      started.applyRegistered(list, false);
    }
    expect(fixture.begun(['v1', 'v2'], started)).toEqual(['v1']);
    await fixture.clock.advance(100);
    expect(fixture.begun(['v1', 'v2'], started)).toEqual(['v1', 'v2']);
  });

  // The first version of a service was handed over as if it had been listed for the time of the
  // hold, and may be the second one of an edge that has an older list.
  test.each([0, 300])(
    'at a first version that is handed over with its age, after %i ms',
    async (waitedMs) => {
      const fixture = new Fixture();
      fixture.store('v1');
      fixture.sendList();
      await fixture.clock.advance(waitedMs);
      const ages = fixture.history.handedOver?.versions.map(({ageMs}) => ageMs);
      expect(ages).toEqual([waitedMs]);
      expect(fixture.begun(['v1'])).toEqual(['v1']);
    },
  );

  test('at versions that are handed over with ages that add up', async () => {
    const fixture = new Fixture();
    fixture.list('v1');
    fixture.store('v2');
    await fixture.clock.advance(400);
    fixture.sendList();
    await fixture.clock.advance(VERSION_HOLD_MS);
    const ages = fixture.history.handedOver?.versions.map(({ageMs}) => ageMs);
    expect(ages).toEqual([VERSION_HOLD_MS + 400, VERSION_HOLD_MS + 400]);
  });
});
