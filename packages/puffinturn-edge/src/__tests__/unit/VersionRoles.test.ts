/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {Rollout, RolloutState, ServiceVersions} from 'puffinturn-fleet';
import {ROLLOUT_STATE} from 'puffinturn-fleet';

import type {Versioned} from '../../rollouts/VersionRoles';
import {
  primaryUpstreams,
  upstreamsOfVersion,
  versionRolesOf,
} from '../../rollouts/VersionRoles';

function versionsOf(state?: RolloutState): ServiceVersions {
  const rollout: Rollout | undefined =
    state === undefined
      ? undefined
      : {durationMs: 12_000, number: 1, state, targetVersion: 'v2'};
  return {rollout, service: 's', stableVersion: 'v1'};
}

function createUpstreams(...versions: (string | undefined)[]): Versioned[] {
  return versions.map((version) => ({record: {version}}));
}

// Guards against requests to a version that the state of the rollout does not allow.
describe('Versions that receive requests', () => {
  const ALL_VERSIONS = createUpstreams('v1', 'v2', 'v3', undefined);

  function servedVersions(
    versions: ServiceVersions | undefined,
    from = ALL_VERSIONS,
  ) {
    return primaryUpstreams(versionRolesOf(versions), from).map(
      ({record}) => record.version,
    );
  }

  test.each([
    ['any version if none is known', undefined, ['v1', 'v2', 'v3', undefined]],
    ['the stable version without a rollout', versionsOf(), ['v1']],
    ['the stable version while exposing', versionsOf('exposing'), ['v1']],
    ['the new version while shifting', versionsOf('shifting'), ['v2']],
    ['the new version once completed', versionsOf('completed'), ['v2']],
    ['the stable version once rolled back', versionsOf('rolled-back'), ['v1']],
    [
      'the stable version in an unknown rollout state',
      versionsOf('paused' as RolloutState),
      ['v1'],
    ],
  ])('%s', (_, versions, expected) => {
    expect(servedVersions(versions)).toEqual(expected);
  });

  test('assigns a canary version only while exposing', () => {
    const statesWithCanary = Object.values(ROLLOUT_STATE).filter(
      (state) => versionRolesOf(versionsOf(state)).canary !== undefined,
    );
    expect(statesWithCanary).toEqual([ROLLOUT_STATE.exposing]);
  });

  test('falls back to the stable version while shifting without new upstreams', () => {
    const remaining = createUpstreams('v1', 'v3');
    expect(servedVersions(versionsOf('shifting'), remaining)).toEqual(['v1']);
    expect(servedVersions(versionsOf('completed'), remaining)).toEqual([]);
  });

  test.each([undefined, 'exposing', 'rolled-back'] as const)(
    'never replaces the stable version by a new one (%s)',
    (state) => {
      expect(
        servedVersions(versionsOf(state), createUpstreams('v2', 'v3')),
      ).toEqual([]);
    },
  );

  test('does not match an upstream without a version to a named version', () => {
    expect(upstreamsOfVersion(createUpstreams(undefined, ''), 'v1')).toEqual(
      [],
    );
  });

  test('treats a null rollout as absent', () => {
    const versions = {...versionsOf(), rollout: null as never};
    expect(servedVersions(versions)).toEqual(['v1']);
  });
});
