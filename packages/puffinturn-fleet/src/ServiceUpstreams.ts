/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** What the registrations of upstreams tell about the versions of a service. */
import type {UpstreamRecord} from './Upstreams';
import {UPSTREAM_STATE} from './Upstreams';

/** The version of upstreams that name none. */
export const UNNAMED_VERSION = '';

/** The version of an upstream. */
export function versionOf({version}: UpstreamRecord): string {
  return version ?? UNNAMED_VERSION;
}

/** Slots of the ready upstreams of one version of a service. */
export function slotsOf(
  records: readonly UpstreamRecord[],
  service: string,
  version: string,
): number {
  return readyOf(records, service)
    .filter((record) => versionOf(record) === version)
    .reduce((sum, {slots}) => sum + slots, 0);
}

/**
 * The version that most ready upstreams of a service have, the one heard of first
 * among equals; undefined where none is ready. `except` counts only where there is no
 * other one.
 */
export function prevalentVersion(
  records: readonly UpstreamRecord[],
  service: string,
  except?: string,
): string | undefined {
  const versions = readyOf(records, service).map(versionOf);
  const others = versions.filter((version) => version !== except);
  return mostFrequent(others) ?? mostFrequent(versions);
}

function mostFrequent(versions: readonly string[]): string | undefined {
  const counts = new Map<string, number>();
  for (const version of versions) {
    counts.set(version, (counts.get(version) ?? 0) + 1);
  }
  const most = Math.max(...counts.values());
  return [...counts.keys()].find((version) => counts.get(version) === most);
}

/**
 * The ready upstreams of a service; of several at one address, of which all but one
 * have crashed, the one heard of last.
 */
export function readyOf(
  records: readonly UpstreamRecord[],
  wanted: string,
): UpstreamRecord[] {
  const ready = records.filter(
    ({service, state}) => service === wanted && state === UPSTREAM_STATE.ready,
  );
  return [...new Map(ready.map((record) => [record.address, record])).values()];
}
