/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Which versions of a service may get a request. It looks at the state of the
 * service's roll-out only; how many requests try a new version is decided elsewhere.
 */
import type {ServiceVersions, UpstreamRecord} from 'puffinturn-fleet';
import {ROLLOUT_STATE, UNNAMED_VERSION} from 'puffinturn-fleet';

/** What has a version: an upstream. */
export interface VersionSource {
  readonly record: Pick<UpstreamRecord, 'version'>;
}

/** What the versions of one service are for. */
export interface VersionUse {
  /** Gets the requests; undefined where any version may. */
  readonly main: string | undefined;
  /** Gets requests out of granted exposure only. */
  readonly trial: string | undefined;
  /** Gets the requests only while no upstream of the main one serves. */
  readonly fallback: string | undefined;
}

const ANY_VERSION: VersionUse = {
  main: undefined,
  fallback: undefined,
  trial: undefined,
};

/** What the versions are for; any version serves where none is known. */
export function useOfVersions(
  versions: ServiceVersions | undefined,
): VersionUse {
  if (versions === undefined) {
    return ANY_VERSION;
  }
  const stable = {...ANY_VERSION, main: versions.stableVersion};
  const rollout = versions.rollout ?? undefined;
  switch (rollout?.state) {
    case ROLLOUT_STATE.completed:
      return {...ANY_VERSION, main: rollout.targetVersion};
    case ROLLOUT_STATE.exposing:
      return {...stable, trial: rollout.targetVersion};
    case ROLLOUT_STATE.shifting:
      return {
        ...ANY_VERSION,
        main: rollout.targetVersion,
        fallback: versions.stableVersion,
      };
    default:
      return stable;
  }
}

/**
 * The upstreams that serve a request which tries no new version. While a service
 * shifts, the former version stands in where none of the new one serves: its
 * upstreams run on until all edges say that they have shifted.
 */
export function servedBy<Upstream extends VersionSource>(
  {main, fallback}: VersionUse,
  upstreams: readonly Upstream[],
): readonly Upstream[] {
  if (main === undefined) {
    return upstreams;
  }
  const found = ofVersion(upstreams, main);
  return found.length === 0 && fallback !== undefined
    ? ofVersion(upstreams, fallback)
    : found;
}

/** The upstreams of one version; those that name none are one version too. */
export function ofVersion<Upstream extends VersionSource>(
  upstreams: readonly Upstream[],
  version: string,
): readonly Upstream[] {
  return upstreams.filter(
    ({record}) => (record.version ?? UNNAMED_VERSION) === version,
  );
}
