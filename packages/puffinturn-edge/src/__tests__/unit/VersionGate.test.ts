/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {Rollout, RolloutState, ServiceVersions} from 'puffinturn-fleet';
import {ROLLOUT_STATE} from 'puffinturn-fleet';

import type {Versioned} from '../../rollouts/VersionGate';
import {
  primaryUpstreams,
  upstreamsOfVersion,
  versionRolesOf,
} from '../../rollouts/VersionGate';

function versionsOf(state?: RolloutState): ServiceVersions {
  const rollout: Rollout | undefined =
    state === undefined
      ? undefined
      : {durationMs: 12_000, number: 1, state, targetVersion: 'v2'};
  return {rollout, service: 's', stableVersion: 'v1'};
}

function upstreams(...versions: (string | undefined)[]): Versioned[] {
  return versions.map((version) => ({record: {version}}));
}

describe('Versions that may get requests', () => {
  const all = upstreams('v1', 'v2', 'v3', undefined);

  function served(versions: ServiceVersions | undefined, from = all) {
    return primaryUpstreams(versionRolesOf(versions), from).map(
      ({record}) => record.version,
    );
  }

  test.each([
    ['any without any word', undefined, ['v1', 'v2', 'v3', undefined]],
    ['the stable one without an order', versionsOf(), ['v1']],
    ['the stable one while exposing', versionsOf('exposing'), ['v1']],
    ['the new one while shifting', versionsOf('shifting'), ['v2']],
    ['the new one once completed', versionsOf('completed'), ['v2']],
    ['the stable one once rolled back', versionsOf('rolled-back'), ['v1']],
    [
      'the stable one in a state of a later version',
      versionsOf('paused' as RolloutState),
      ['v1'],
    ],
  ])('%s', (_, versions, expected) => {
    expect(served(versions)).toEqual(expected);
  });

  test('only while exposing there is one to try', () => {
    const tried = Object.values(ROLLOUT_STATE).filter(
      (state) => versionRolesOf(versionsOf(state)).canary !== undefined,
    );
    expect(tried).toEqual([ROLLOUT_STATE.exposing]);
  });

  test('while shifting, the former one stands in where no new one serves', () => {
    const left = upstreams('v1', 'v3');
    expect(served(versionsOf('shifting'), left)).toEqual(['v1']);
    expect(served(versionsOf('completed'), left)).toEqual([]);
  });

  test.each([undefined, 'exposing', 'rolled-back'] as const)(
    'a new one never stands in for the stable one (%s)',
    (state) => {
      expect(served(versionsOf(state), upstreams('v2', 'v3'))).toEqual([]);
    },
  );

  test('an upstream that names no version is of no named one', () => {
    expect(upstreamsOfVersion(upstreams(undefined, ''), 'v1')).toEqual([]);
  });

  test('an order that came as null is none', () => {
    const versions = {...versionsOf(), rollout: null as never};
    expect(served(versions)).toEqual(['v1']);
  });
});
