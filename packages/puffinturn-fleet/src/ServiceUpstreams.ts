/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {UpstreamRecord} from './UpstreamTable';
import {UPSTREAM_STATE} from './UpstreamTable';

/** Version of upstreams that report none. */
export const UNKNOWN_VERSION = '';

/** Returns the software version of an upstream. */
export function upstreamVersion({
  version,
}: Pick<UpstreamRecord, 'version'>): string {
  return version ?? UNKNOWN_VERSION;
}

/** Returns the total slots of a service's ready upstreams with a given version. */
export function readySlots(
  records: readonly UpstreamRecord[],
  service: string,
  version: string,
): number {
  return readyUpstreams(records, service)
    .filter((record) => upstreamVersion(record) === version)
    .reduce((sum, {slots}) => sum + slots, 0);
}

/**
 * Returns the most common version among the ready upstreams of a service, or undefined
 * if none is ready. Ties go to the version found first. `excludedVersion` is returned
 * only if there is no other version.
 */
export function mostCommonVersion(
  records: readonly UpstreamRecord[],
  service: string,
  excludedVersion?: string,
): string | undefined {
  const versions = readyUpstreams(records, service).map(upstreamVersion);
  const others = versions.filter((version) => version !== excludedVersion);
  return mostFrequent(others) ?? mostFrequent(versions);
}

function mostFrequent(versions: readonly string[]): string | undefined {
  const counts = new Map<string, number>();
  for (const version of versions) {
    counts.set(version, (counts.get(version) ?? 0) + 1);
  }
  const maxCount = Math.max(...counts.values());
  return [...counts.keys()].find((version) => counts.get(version) === maxCount);
}

/**
 * Returns the ready upstreams of a service. Of several records with one address it
 * returns the last, as the others belong to crashed processes.
 */
export function readyUpstreams(
  records: readonly UpstreamRecord[],
  serviceName: string,
): UpstreamRecord[] {
  const ready = records.filter(
    ({service, state}) =>
      service === serviceName && state === UPSTREAM_STATE.ready,
  );
  return [...new Map(ready.map((record) => [record.address, record])).values()];
}
