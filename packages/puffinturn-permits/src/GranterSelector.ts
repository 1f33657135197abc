/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Selects the boxes that grant the permits of an upstream by rendezvous hashing among the
 * boxes of its region. Boxes that know the same list of boxes select the same granters.
 */
import {LRUCache} from 'lru-cache';
import {hash32, rankByRendezvous} from 'shared';

import {MAX_TRACKED_UPSTREAMS} from './PermitConstants';
import type {RateLimitedUpstream} from './PermitMessages';

/** A box that may grant permits. */
export interface GranterCandidate {
  readonly box: string;
  readonly hall: string;
}

/** Dependencies of a GranterSelector. */
export interface GranterSelectorParts {
  readonly self: GranterCandidate;
  /** Returns the other boxes; a new array after each change of the list. */
  readonly peers: () => readonly GranterCandidate[];
  /** Whether two halls are in the same region. */
  readonly areInSameRegion: (hall: string, other: string) => boolean;
}

interface RankedBox extends GranterCandidate {
  readonly hash: number;
}

/** Number of granters per upstream: a primary and a secondary. */
const GRANTERS_PER_UPSTREAM = 2;

/** Selects and caches the granters of upstreams. */
export class GranterSelector {
  private readonly cache = new LRUCache<string, readonly string[]>({
    max: MAX_TRACKED_UPSTREAMS,
  });
  private peers: readonly GranterCandidate[] | undefined;
  private boxes: readonly RankedBox[] = [];

  constructor(private readonly parts: GranterSelectorParts) {}

  /**
   * Returns the granters of an upstream, the primary first. If its region has no boxes,
   * the boxes of all regions are candidates.
   */
  select({hall, id}: RateLimitedUpstream): readonly string[] {
    this.refresh();
    const key = `${id} ${hall}`;
    const cachedBoxes = this.cache.get(key);
    if (cachedBoxes !== undefined) {
      return cachedBoxes;
    }
    const {areInSameRegion} = this.parts;
    const sameRegion = this.boxes.filter((box) =>
      areInSameRegion(box.hall, hall),
    );
    const selected = selectByWeight(
      id,
      sameRegion.length > 0 ? sameRegion : this.boxes,
    );
    this.cache.set(key, selected);
    return selected;
  }

  /** Updates the candidates if the list of boxes has changed. */
  private refresh(): void {
    const peers = this.parts.peers();
    if (peers !== this.peers) {
      this.peers = peers;
      this.boxes = [this.parts.self, ...peers].map(({box, hall}) => {
        return {box, hall, hash: hash32(box)};
      });
      this.cache.clear();
    }
  }
}

function selectByWeight(
  id: string,
  boxes: readonly RankedBox[],
): readonly string[] {
  return rankByRendezvous(boxes, hash32(id))
    .slice(0, GRANTERS_PER_UPSTREAM)
    .map(({box}) => box);
}
