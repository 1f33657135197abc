/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * How much of each team's prepaid budget was handed to edges. Tokens count as spent
 * from the moment they are granted; only a returned grant makes them free again.
 */
import type {TeamAmount, TeamGrants} from 'puffinturn-decisions';

/**
 * Lives of edges remembered, dead ones too; the ones unused for longest are
 * forgotten first.
 */
const MAX_LIVES = 4_000;

/**
 * The part of a team's unspent tokens that all holders together may hold, for each
 * part of the budget that is unspent beyond SCARCE_PART, and its bounds. What is
 * held is lost as its holders die, and what is not held is missing in a cut. A
 * budget that is nearly used up serves no more callers for being held, as what a
 * cut refuses is served later. A request that needs more still gets it
 * (docs/design/shifted-work.md has the measurement).
 */
const PART_HELD_BY_UNSPENT = 1.2;

/** Unspent part of a budget below which holding more serves nobody. */
const SCARCE_PART = 0.2;

/** Least part held of what is unspent: a cut finds some tokens. */
const LEAST_PART_HELD = 0.02;

/** Most part held of what is unspent: the loss of all edges leaves as much again. */
const MOST_PART_HELD = 0.45;

/**
 * A holder may hold this multiple of its edges' share of all edges, so that one
 * that serves a busy hall alone does not hold most tokens; holders lend.
 */
const FAIR_SHARES_HELD = 1.5;

/** The part of what may still be granted that one ask gets at most. */
const PART_OF_ROOM = 1 / 2;

/** One team's part of an allowance exchange; tokens. */
export interface AllowanceAsk {
  readonly team: string;
  /** Tokens without which a waiting request can't run. */
  readonly need: number;
  /** Tokens that would be held in all calm. */
  readonly want: number;
  /** Tokens handed back. */
  readonly back: number;
  /**
   * Tokens set aside for requests since the last exchange, less those that
   * came back unspent: what a holder can't hand back counts as spent at once.
   */
  readonly spent: number;
  /** Tokens lent to (below 0: borrowed from) other edges since then. */
  readonly lent: number;
  /** The part of all edges that this holder holds tokens for, from 0 to 1. */
  readonly share: number;
}

/** Exchanges allowances with one holder. */
export interface AllowanceRecord {
  readonly kind: 'allowance';
  /** The box of an edge. */
  readonly box: string;
  /** One life of that edge. */
  readonly holder: string;
  /** Grows by 1; an exchange sent again under its number is done once. */
  readonly sequence: number;
  readonly asks: readonly AllowanceAsk[];
}

/** What one team got; tokens. */
export interface AllowanceGrant {
  readonly team: string;
  readonly granted: number;
  /** Tokens that the core can still grant afterwards; below 0 if overdrawn. */
  readonly left: number;
  /** The most that this holder should hold, besides what requests have. */
  readonly mostHeld: number;
}

/** What applying an allowance exchange did. */
export interface AllowanceOutcome {
  readonly kind: 'allowance';
  readonly grants: readonly AllowanceGrant[];
  /** What a former life of the box held, where this is its next life's first. */
  readonly writtenOff?: readonly TeamAmount[] | undefined;
}

/** One life of an edge. */
interface Holder {
  readonly box: string;
  /** Of the last exchange, and what it brought. */
  readonly sequence: number;
  readonly grants: readonly AllowanceGrant[];
  /** Tokens in its hands that no request has, by team. */
  readonly held: Map<string, number>;
}

/** How snapshots of a former version tell of the newest life of each box. */
interface FormerHolder extends Omit<Holder, 'box'> {
  readonly holder: string;
}

/** The part of a snapshot that tells of allowances. */
export interface AllowanceImage {
  readonly granted: readonly (readonly [string, number])[];
  /** By box, in snapshots of a former version. */
  readonly holders: readonly (readonly [string, FormerHolder])[];
  /** By life; missing in snapshots of a former version. */
  readonly lives?: readonly (readonly [string, Holder])[] | undefined;
}

/** See the module comment. */
export class AllowanceLedger {
  private granted = new Map<string, number>();
  /** Lives of edges that have exchanged allowances, the one used last at the end. */
  private lives = new Map<string, Holder>();
  /** The life of each box that was heard of last. */
  private newest = new Map<string, string>();

  /** Is told how many tokens a team has paid for, as of the configuration in force. */
  constructor(private readonly prepaidOf: (team: string) => number) {}

  /** Tokens of a team that are in the hands of edges or spent. */
  grantedTo(team: string): number {
    return this.granted.get(team) ?? 0;
  }

  /** The same with what there is in all, and what is in the hands of edges. */
  grantsOf(team: string): TeamGrants {
    return {
      granted: this.grantedTo(team),
      held: this.heldByAll(team),
      prepaid: this.prepaidOf(team),
      team,
    };
  }

  /** Its part of a snapshot. */
  image(): AllowanceImage {
    return {granted: [...this.granted], holders: [], lives: [...this.lives]};
  }

  /** Takes over what a snapshot holds. */
  restore({granted, holders, lives}: AllowanceImage): void {
    this.granted = new Map(granted);
    this.lives = new Map(lives ?? holders.map(lifeOfFormer));
    this.newest = new Map(
      [...this.lives].map(([life, {box}]) => [box, life] as const),
    );
  }

  /** Exchanges allowances with one holder. */
  apply(record: AllowanceRecord): AllowanceOutcome {
    const {asks, box, holder, sequence} = record;
    const known = this.lives.get(holder);
    // Also for a life that is over: a copy of its last words may arrive later, and
    // the tokens that they hand back would be counted, and granted, twice.
    if (known !== undefined && sequence <= known.sequence) {
      const grants = sequence === known.sequence ? known.grants : [];
      return {grants, kind: 'allowance'};
    }
    const writtenOff = this.endFormerLife(box, holder);
    const held = known?.held ?? new Map<string, number>();
    this.remember(holder, {box, grants: [], held, sequence});
    const grants = asks.map((ask) => this.grant(ask, held));
    this.remember(holder, {box, grants, held, sequence});
    return {grants, kind: 'allowance', writtenOff};
  }

  /** What another life of a box held can't be told from what it spent. */
  private endFormerLife(box: string, life: string): TeamAmount[] | undefined {
    const former = this.newest.get(box);
    if (former === undefined || former === life) {
      return undefined;
    }
    const held = this.lives.get(former)?.held;
    const writtenOff = amountsIn(held ?? new Map());
    held?.clear();
    return writtenOff;
  }

  private remember(life: string, holder: Holder): void {
    this.lives.delete(life);
    this.lives.set(life, holder);
    this.newest.set(holder.box, life);
    const [oldest] = this.lives.keys();
    if (this.lives.size > MAX_LIVES && oldest !== undefined) {
      this.forget(oldest);
    }
  }

  private forget(life: string): void {
    const box = this.lives.get(life)?.box;
    this.lives.delete(life);
    if (box !== undefined && this.newest.get(box) === life) {
      this.newest.delete(box);
    }
  }

  private grant(ask: AllowanceAsk, held: Map<string, number>): AllowanceGrant {
    const {back, lent, need, share, spent, team, want} = ask;
    const former = held.get(team) ?? 0;
    const kept = former - back - spent - lent;
    held.set(team, kept);
    const out = Math.max(0, this.grantedTo(team) - back);
    const left = Math.max(0, this.prepaidOf(team) - out);
    const heldByAll = this.heldByAll(team);
    const most = this.mostHeldByAll(team, left + heldByAll);
    const fair = most * Math.min(1, share * FAIR_SHARES_HELD);
    const room = Math.max(0, most - heldByAll) * PART_OF_ROOM;
    const calm = Math.min(want, Math.floor(Math.min(room, fair - kept)));
    const granted = Math.min(left, Math.max(need, calm));
    this.granted.set(team, out + granted);
    const holds = kept + granted;
    held.set(team, holds);
    const excess = (heldByAll + granted) / Math.max(1, most);
    const mostHeld =
      excess > 1 ? Math.min(fair, Math.max(0, holds) / excess) : fair;
    return {
      granted,
      left: left - granted,
      mostHeld: Math.floor(mostHeld),
      team,
    };
  }

  private mostHeldByAll(team: string, unspent: number): number {
    const part = unspent / Math.max(1, this.prepaidOf(team));
    const steep = (part - SCARCE_PART) * PART_HELD_BY_UNSPENT;
    const partHeld = Math.min(MOST_PART_HELD, steep);
    return unspent * Math.max(LEAST_PART_HELD, partHeld);
  }

  private heldByAll(team: string): number {
    let sum = 0;
    for (const life of this.newest.values()) {
      sum += this.lives.get(life)?.held.get(team) ?? 0;
    }
    return Math.max(0, sum);
  }
}

function amountsIn(held: ReadonlyMap<string, number>): TeamAmount[] {
  return [...held]
    .map(([team, amount]) => ({amount, team}))
    .filter(({amount}) => amount > 0);
}

function lifeOfFormer([box, former]: readonly [
  string,
  FormerHolder,
]): readonly [string, Holder] {
  const {grants, held, holder, sequence} = former;
  return [holder, {box, grants, held, sequence}];
}
