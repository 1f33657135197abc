/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * The list of versions is a lease: a box may take it for complete until the lease has run out.
 * A version begins streams only once all leases on lists without it have run out, so a stream
 * that a lease holder doesn't know can't have begun there.
 */
import type {Clock} from 'shared';

import type {RegisteredVersions} from './VersionRegistry';

/** How long the list counts as complete after a quorum confirmed it, ms. */
export const VERSION_LEASE_MS = 1_250;

/**
 * How long a version must have been on the list before it begins streams, ms: the lease, a
 * suspension of the holder that is too short to be detected, and different rates of clocks.
 */
export const VERSION_HOLD_MS = VERSION_LEASE_MS + 1_000 + 250;

/** Knows for how long versions have been on the list, at the least. */
export class VersionAges {
  /** Since when a version was on the list at the latest, by its number, monotonic ms. */
  private readonly listedSince = new Map<number, number>();

  constructor(private readonly clock: Clock) {}

  /** Notes new versions, with their ages if the list has them; called after each change. */
  note({versions}: RegisteredVersions): void {
    const former = new Map(this.listedSince);
    const now = this.clock.now();
    this.listedSince.clear();
    for (const {ageMs = 0, number} of versions) {
      this.listedSince.set(number, former.get(number) ?? now - ageMs);
    }
  }

  /** Time for which a version has been on the list at the least, ms; 0 if it is not noted. */
  ageMs(number: number): number {
    const now = this.clock.now();
    return now - (this.listedSince.get(number) ?? now);
  }

  /** The list with the ages of its versions. */
  withAges({revision, versions}: RegisteredVersions): RegisteredVersions {
    return {
      revision,
      versions: versions.map((version) => ({
        ...version,
        ageMs: this.ageMs(version.number),
      })),
    };
  }
}
