/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {BoxRecord} from 'puffinturn-fleet';
import {incarnationIdOf, Regions} from 'puffinturn-fleet';
import type {Clock} from 'shared';
import {hash32, rankByRendezvous} from 'shared';

/** Time for which an edge that did not reply is skipped, ms. */
const SUSPECT_TIMEOUT_MS = 1_500;

interface Candidate {
  readonly box: string;
  readonly hash: number;
}

/**
 * Selects the edge of each hall that holds a team's tokens, by rendezvous hashing among
 * the edges that reply. Edges with the same list of boxes agree on it; while lists
 * differ, any edge that has tokens can lend them. Halls of the own region are listed
 * first, because links between regions are slow.
 */
export class TokenHolders {
  private edgesByHall = new Map<string, Candidate[]>();
  private readonly rankingCache = new Map<string, readonly string[]>();
  private readonly suspectedUntil = new Map<string, number>();
  private otherEdges: readonly BoxRecord[] | undefined;

  constructor(
    private readonly self: {readonly box: string; readonly hall: string},
    private readonly clock: Clock,
    /** The other edges; returns a new array after each change. */
    private readonly listOtherEdges: () => readonly BoxRecord[],
    private readonly regions = new Regions(),
  ) {}

  /** Number of halls that have edges. */
  get hallCount(): number {
    this.refresh();
    return this.edgesByHall.size;
  }

  /** Fraction of all edges that are in the hall of this edge. */
  get ownHallShare(): number {
    this.refresh();
    const own = this.edgesByHall.get(this.self.hall)?.length ?? 1;
    const all = 1 + (this.otherEdges?.length ?? 0);
    return own / all;
  }

  /** Whether this edge holds the tokens of a team for its hall. */
  isHolder(team: string): boolean {
    return this.rankedEdges(team, this.self.hall)[0] === this.self.box;
  }

  /** Edges of this hall that rank above this one, the holder first. */
  preferredHolders(team: string): readonly string[] {
    const ranked = this.rankedEdges(team, this.self.hall);
    return ranked.slice(0, ranked.indexOf(this.self.box));
  }

  /** All other edges in the order in which they take over from this one. */
  successors(team: string): readonly string[] {
    const own = this.rankedEdges(team, this.self.hall);
    const remote = this.otherHalls().flatMap((hall) =>
      this.rankedEdges(team, hall),
    );
    return [...own, ...remote].filter((box) => box !== this.self.box);
  }

  /** The incarnation ID of another edge according to the list of boxes. */
  incarnationIdOf(box: string): string | undefined {
    this.refresh();
    const found = this.otherEdges?.find((other) => other.box === box);
    return found === undefined ? undefined : incarnationIdOf(found);
  }

  /** Edges to borrow from: the first ones of this hall, then the other holders. */
  lendersFor(team: string): readonly string[] {
    const own = this.rankedEdges(team, this.self.hall).slice(0, 2);
    const remote = this.otherHalls().flatMap((hall) =>
      this.rankedEdges(team, hall).slice(0, 1),
    );
    return [...own, ...remote].filter((box) => box !== this.self.box);
  }

  /** Whether an edge is known to be in another region. */
  isInOtherRegion(box: string): boolean {
    this.refresh();
    const found = this.otherEdges?.find((other) => other.box === box);
    return found !== undefined && this.isHallInOtherRegion(found.hall);
  }

  /** Skips an edge that did not reply for the duration of the timeout. */
  markSuspect(box: string): void {
    const now = this.clock.now();
    for (const [other, until] of this.suspectedUntil) {
      if (until <= now) {
        this.suspectedUntil.delete(other);
      }
    }
    this.suspectedUntil.set(box, now + SUSPECT_TIMEOUT_MS);
  }

  private otherHalls(): string[] {
    this.refresh();
    const others = [...this.edgesByHall.keys()].filter(
      (hall) => hall !== this.self.hall,
    );
    const sameRegion = others.filter((hall) => !this.isHallInOtherRegion(hall));
    return [
      ...sameRegion,
      ...others.filter((hall) => this.isHallInOtherRegion(hall)),
    ];
  }

  private isHallInOtherRegion(hall: string): boolean {
    return !this.regions.areInSameRegion(this.self.hall, hall);
  }

  /** Edges of a hall, the holder first, without suspected ones. */
  private rankedEdges(team: string, hall: string): readonly string[] {
    this.refresh();
    const key = `${hall} ${team}`;
    let boxes = this.rankingCache.get(key);
    if (boxes === undefined) {
      boxes = this.rankEdges(team, hall);
      this.rankingCache.set(key, boxes);
    }
    return this.suspectedUntil.size === 0
      ? boxes
      : boxes.filter((box) => !this.isSuspected(box));
  }

  private rankEdges(team: string, hall: string): readonly string[] {
    const candidates = this.edgesByHall.get(hall) ?? [];
    return rankByRendezvous(candidates, hash32(team)).map(({box}) => box);
  }

  private isSuspected(box: string): boolean {
    return (this.suspectedUntil.get(box) ?? -Infinity) > this.clock.now();
  }

  /** Rebuilds the index by hall if the list of edges has changed. */
  private refresh(): void {
    const others = this.listOtherEdges();
    if (others === this.otherEdges) {
      return;
    }
    this.otherEdges = others;
    this.rankingCache.clear();
    this.edgesByHall = new Map();
    for (const {box, hall} of [this.self, ...others]) {
      const candidates = this.edgesByHall.get(hall) ?? [];
      candidates.push({box, hash: hash32(box)});
      this.edgesByHall.set(hall, candidates);
    }
  }
}
