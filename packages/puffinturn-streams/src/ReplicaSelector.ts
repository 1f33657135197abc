/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Selects the boxes that hold the origin of a stream, by rendezvous hashing of its key.
 * Boxes that know the same list of boxes select the same ones.
 */
import {hash32, rankByRendezvous} from 'shared';

import {REPLICA_CANDIDATES} from './StreamConstants';

/** A box that may hold origins. */
export interface ReplicaBox {
  readonly box: string;
  readonly hall: string;
}

/** Dependencies of ReplicaSelector. */
export interface ReplicaSelectorParts {
  readonly self: ReplicaBox;
  /** Returns the other boxes; a new array after each change of the list. */
  readonly peers: () => readonly ReplicaBox[];
  /** Whether two halls are in the same region. */
  readonly areInSameRegion: (hall: string, other: string) => boolean;
}

interface HashedBox extends ReplicaBox {
  readonly hash: number;
}

/** Selects replicas in each region. */
export class ReplicaSelector {
  private peers: readonly ReplicaBox[] | undefined;
  /** The boxes of each region, those of the own region first. */
  private regions: readonly (readonly HashedBox[])[] = [];

  constructor(private readonly parts: ReplicaSelectorParts) {}

  /** Returns the boxes of the own region for a key, in order of preference. */
  select(key: string): readonly string[] {
    this.refresh();
    const [ownRegion = []] = this.regions;
    return selectFrom(ownRegion, hash32(key));
  }

  /** Returns the boxes of each region for a key; the own region comes first. */
  selectByRegion(key: string): readonly (readonly string[])[] {
    this.refresh();
    const keyHash = hash32(key);
    return this.regions.map((boxes) => selectFrom(boxes, keyHash));
  }

  /** Number of boxes of all regions. */
  get count(): number {
    return this.parts.peers().length + 1;
  }

  /** Returns all boxes of the own region. */
  get ownRegion(): readonly string[] {
    this.refresh();
    return (this.regions[0] ?? []).map(({box}) => box);
  }

  /** Returns all boxes of all regions. */
  get all(): readonly string[] {
    const {peers, self} = this.parts;
    return [self, ...peers()].map(({box}) => box);
  }

  private refresh(): void {
    const {areInSameRegion, peers, self} = this.parts;
    const current = peers();
    if (current === this.peers) {
      return;
    }
    this.peers = current;
    const regions: HashedBox[][] = [];
    for (const {box, hall} of [self, ...current]) {
      const hashed = {box, hall, hash: hash32(box)};
      const region = regions.find(
        ([first]) => first !== undefined && areInSameRegion(first.hall, hall),
      );
      if (region === undefined) {
        regions.push([hashed]);
      } else {
        region.push(hashed);
      }
    }
    this.regions = regions;
  }
}

/** Takes the first box of each hall, then the others. */
function selectFrom(boxes: readonly HashedBox[], keyHash: number): string[] {
  const halls = new Set<string>();
  const firstOfHall: HashedBox[] = [];
  const others: HashedBox[] = [];
  for (const box of rankByRendezvous(boxes, keyHash)) {
    (halls.has(box.hall) ? others : firstOfHall).push(box);
    halls.add(box.hall);
  }
  return [...firstOfHall, ...others]
    .slice(0, REPLICA_CANDIDATES)
    .map(({box}) => box);
}
