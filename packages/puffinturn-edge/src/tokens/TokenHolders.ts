/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Which edge of a hall holds a team's tokens for all edges of that hall: the
 * first by rendezvous among those that answer. Edges that know the same boxes
 * agree; where they don't, tokens are lent by whoever has some. Edges of other halls
 * are named the own region first: the way to the others is long and thin.
 */
import type {BoxRecord} from 'puffinturn-fleet';
import {lifeOf, Regions} from 'puffinturn-fleet';
import type {Clock} from 'shared';
import {hashOf, rendezvousWeight} from 'shared';

/** How long an edge that did not answer is passed over, ms. */
const SUSPECT_MS = 1_500;

interface Candidate {
  readonly box: string;
  readonly hash: number;
}

/** See the module comment. */
export class TokenHolders {
  private halls = new Map<string, Candidate[]>();
  private readonly ranks = new Map<string, readonly string[]>();
  private readonly suspects = new Map<string, number>();
  private others: readonly BoxRecord[] | undefined;

  constructor(
    private readonly self: {readonly box: string; readonly hall: string},
    private readonly clock: Clock,
    /** The other edges; a new list is a new array. */
    private readonly edges: () => readonly BoxRecord[],
    private readonly regions = new Regions(),
  ) {}

  /** How many halls have edges. */
  get hallCount(): number {
    this.refresh();
    return this.halls.size;
  }

  /** The part of all edges that the own hall has: what it should hold for. */
  get share(): number {
    this.refresh();
    const own = this.halls.get(this.self.hall)?.length ?? 1;
    const all = 1 + (this.others?.length ?? 0);
    return own / all;
  }

  /** Whether this edge holds the tokens of a team for its hall. */
  isHolder(team: string): boolean {
    return this.ranked(team, this.self.hall)[0] === this.self.box;
  }

  /** Edges of the own hall to ask before this one, the holder first. */
  ahead(team: string): readonly string[] {
    const ranked = this.ranked(team, this.self.hall);
    return ranked.slice(0, ranked.indexOf(this.self.box));
  }

  /** The edge that holds the tokens once this one is gone, then all others. */
  successors(team: string): readonly string[] {
    const own = this.ranked(team, this.self.hall);
    const away = this.otherHalls().flatMap((hall) => this.ranked(team, hall));
    return [...own, ...away].filter((box) => box !== this.self.box);
  }

  /** The life of another edge, as the list of boxes has it. */
  lifeOf(box: string): string | undefined {
    this.refresh();
    const found = this.others?.find((other) => other.box === box);
    return found === undefined ? undefined : lifeOf(found);
  }

  /** The holders in all other halls, and the next ones in the own hall. */
  elsewhere(team: string): readonly string[] {
    const own = this.ranked(team, this.self.hall).slice(0, 2);
    const away = this.otherHalls().flatMap((hall) =>
      this.ranked(team, hall).slice(0, 1),
    );
    return [...own, ...away].filter((box) => box !== this.self.box);
  }

  /** Whether an edge is in another region than this one. */
  isAway(box: string): boolean {
    this.refresh();
    const found = this.others?.find((other) => other.box === box);
    return found !== undefined && this.isFar(found.hall);
  }

  /** Passes over an edge that did not answer, for a while. */
  suspect(box: string): void {
    const now = this.clock.now();
    for (const [other, until] of this.suspects) {
      if (until <= now) {
        this.suspects.delete(other);
      }
    }
    this.suspects.set(box, now + SUSPECT_MS);
  }

  private otherHalls(): string[] {
    this.refresh();
    const others = [...this.halls.keys()].filter(
      (hall) => hall !== this.self.hall,
    );
    const near = others.filter((hall) => !this.isFar(hall));
    return [...near, ...others.filter((hall) => this.isFar(hall))];
  }

  private isFar(hall: string): boolean {
    return !this.regions.areTogether(this.self.hall, hall);
  }

  /** Edges of a hall, the holder first, without those that did not answer. */
  private ranked(team: string, hall: string): readonly string[] {
    this.refresh();
    const key = `${hall} ${team}`;
    let boxes = this.ranks.get(key);
    if (boxes === undefined) {
      boxes = this.rank(team, hall);
      this.ranks.set(key, boxes);
    }
    return this.suspects.size === 0
      ? boxes
      : boxes.filter((box) => !this.isSuspect(box));
  }

  private rank(team: string, hall: string): readonly string[] {
    const teamHash = hashOf(team);
    const candidates = [...(this.halls.get(hall) ?? [])];
    const weight = ({hash}: Candidate): number =>
      rendezvousWeight(hash, teamHash);
    candidates.sort((a, b) => weight(b) - weight(a));
    return candidates.map(({box}) => box);
  }

  private isSuspect(box: string): boolean {
    return (this.suspects.get(box) ?? -Infinity) > this.clock.now();
  }

  /** Groups the edges by hall again where the list has changed. */
  private refresh(): void {
    const others = this.edges();
    if (others === this.others) {
      return;
    }
    this.others = others;
    this.ranks.clear();
    this.halls = new Map();
    for (const {box, hall} of [this.self, ...others]) {
      const candidates = this.halls.get(hall) ?? [];
      candidates.push({box, hash: hashOf(box)});
      this.halls.set(hall, candidates);
    }
  }
}
