/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {ServiceVersions, UpstreamRecord} from 'puffinturn-fleet';
import {ROLLOUT_STATE, upstreamVersion} from 'puffinturn-fleet';

/** The part of an upstream that names its version. */
export interface Versioned {
  readonly record: Pick<UpstreamRecord, 'version'>;
}

/** Roles of the versions of one service. */
export interface VersionRoles {
  /** Receives regular requests; undefined if any version may. */
  readonly primary: string | undefined;
  /** Receives only requests granted by the leader. */
  readonly canary: string | undefined;
  /** Receives requests only while the primary version cannot serve them. */
  readonly fallback: string | undefined;
}

const ANY_VERSION: VersionRoles = {
  primary: undefined,
  fallback: undefined,
  canary: undefined,
};

/** Returns the roles of the versions; any version serves if none is known. */
export function versionRolesOf(
  versions: ServiceVersions | undefined,
): VersionRoles {
  if (versions === undefined) {
    return ANY_VERSION;
  }
  const stable = {...ANY_VERSION, primary: versions.stableVersion};
  const rollout = versions.rollout ?? undefined;
  switch (rollout?.state) {
    case ROLLOUT_STATE.completed:
      return {...ANY_VERSION, primary: rollout.targetVersion};
    case ROLLOUT_STATE.exposing:
      return {...stable, canary: rollout.targetVersion};
    case ROLLOUT_STATE.shifting:
      return {
        ...ANY_VERSION,
        primary: rollout.targetVersion,
        fallback: versions.stableVersion,
      };
    default:
      return stable;
  }
}

/**
 * Returns the upstreams of the primary version, or of the fallback version if there
 * are none. During a shift, fallback upstreams run until all edges have shifted.
 */
export function primaryUpstreams<Upstream extends Versioned>(
  {primary, fallback}: VersionRoles,
  upstreams: readonly Upstream[],
): readonly Upstream[] {
  if (primary === undefined) {
    return upstreams;
  }
  const matching = upstreamsOfVersion(upstreams, primary);
  return matching.length === 0 && fallback !== undefined
    ? upstreamsOfVersion(upstreams, fallback)
    : matching;
}

/** Returns the upstreams of one version; those without a version count as UNKNOWN_VERSION. */
export function upstreamsOfVersion<Upstream extends Versioned>(
  upstreams: readonly Upstream[],
  version: string,
): readonly Upstream[] {
  return upstreams.filter(({record}) => upstreamVersion(record) === version);
}
