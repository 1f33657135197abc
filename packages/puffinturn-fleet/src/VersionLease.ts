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
  /** When this box first saw a version on the list, by its number, monotonic ms. */
  private readonly seenAt = new Map<number, number>();

  constructor(private readonly clock: Clock) {}

  /** Notes new versions; called after each change of the list. */
  note({versions}: RegisteredVersions): void {
    const listed = new Set(versions.map(({number}) => number));
    for (const number of this.seenAt.keys()) {
      if (!listed.has(number)) {
        this.seenAt.delete(number);
      }
    }
    for (const number of listed) {
      this.seenAt.set(number, this.seenAt.get(number) ?? this.clock.now());
    }
  }

  /** The list with the ages of its versions. */
  withAges(list: RegisteredVersions): RegisteredVersions {
    this.note(list);
    const now = this.clock.now();
    return {
      revision: list.revision,
      versions: list.versions.map((version) => ({
        ...version,
        ageMs: now - (this.seenAt.get(version.number) ?? now),
      })),
    };
  }
}
