/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Which boxes grant the permits of an upstream: the first two by rendezvous among those
 * of its region, the same ones wherever the same boxes are known.
 */
import {LRUCache} from 'lru-cache';
import {hashOf, rendezvousWeight} from 'shared';

import {MAX_REMEMBERED} from './PermitConstants';
import type {BoundedUpstream} from './PermitMessages';

/** A box that may grant permits. */
export interface GrantingBox {
  readonly box: string;
  readonly hall: string;
}

/** What Granters rest on. */
export interface GrantersParts {
  readonly self: GrantingBox;
  /** The other boxes; a new array where the list has changed. */
  readonly peers: () => readonly GrantingBox[];
  /** Whether two halls are in one region. */
  readonly areTogether: (hall: string, other: string) => boolean;
}

interface RankedBox extends GrantingBox {
  readonly hash: number;
}

/** How many boxes grant permits of one upstream. */
const GRANTERS = 2;

/** See the module comment. */
export class Granters {
  private readonly known = new LRUCache<string, readonly string[]>({
    max: MAX_REMEMBERED,
  });
  private peers: readonly GrantingBox[] | undefined;
  private boxes: readonly RankedBox[] = [];

  constructor(private readonly parts: GrantersParts) {}

  /** The boxes that grant permits of an upstream, the first one first. */
  of({hall, id}: BoundedUpstream): readonly string[] {
    this.refresh();
    const key = `${id} ${hall}`;
    const known = this.known.get(key);
    if (known !== undefined) {
      return known;
    }
    const {areTogether} = this.parts;
    const near = this.boxes.filter((box) => areTogether(box.hall, hall));
    const found = firstFor(id, near.length > 0 ? near : this.boxes);
    this.known.set(key, found);
    return found;
  }

  private refresh(): void {
    const peers = this.parts.peers();
    if (peers !== this.peers) {
      this.peers = peers;
      this.boxes = [this.parts.self, ...peers].map(({box, hall}) => {
        return {box, hall, hash: hashOf(box)};
      });
      this.known.clear();
    }
  }
}

function firstFor(id: string, boxes: readonly RankedBox[]): readonly string[] {
  const key = hashOf(id);
  const weightOf = ({hash}: RankedBox): number => rendezvousWeight(hash, key);
  return [...boxes]
    .sort((a, b) => weightOf(b) - weightOf(a))
    .slice(0, GRANTERS)
    .map(({box}) => box);
}
