/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {TeamGrantCounts, TeamTokenAmount} from 'puffinturn-decisions';

/** Maximum number of incarnations kept; the least recently used is evicted. */
const MAX_INCARNATIONS = 4_000;

/**
 * The held fraction is the part of a team's unspent tokens that all holders together
 * may hold. It rises by this slope with the unspent part of the budget above
 * SCARCE_FRACTION. Held tokens serve requests during a network partition, but are lost
 * if the holder crashes. A budget that is nearly used up serves no more callers for being
 * held, as what is rejected in a partition is served later. Requests that need more tokens
 * still get them.
 */
const HELD_FRACTION_SLOPE = 1.2;

/** Unspent fraction of a budget at which the held fraction is lowest. */
const SCARCE_FRACTION = 0.2;

/** Minimum held fraction, so that holders have tokens during a partition. */
const MIN_HELD_FRACTION = 0.02;

/** Maximum held fraction, so that a crash of all edges loses less than half. */
const MAX_HELD_FRACTION = 0.45;

/**
 * Maximum tokens of one holder, as a multiple of its fair share. Keeps the holder of
 * a busy hall from taking most tokens; holders can borrow from each other.
 */
const FAIR_SHARE_MULTIPLE = 1.5;

/**
 * Maximum grant per AllowanceAsk, as a fraction of the tokens that holders may still
 * take. Tokens needed by waiting requests are granted beyond it.
 */
const MAX_GRANT_FRACTION = 1 / 2;

/** One team's part of an allowance exchange; amounts in tokens. */
export interface AllowanceAsk {
  readonly team: string;
  /** Tokens that waiting requests need in order to run. */
  readonly need: number;
  /** Tokens requested in total, including a reserve beyond `need`. */
  readonly want: number;
  /** Unused tokens returned. */
  readonly back: number;
  /**
   * Tokens reserved for requests since the last exchange, less those released
   * unused. Reserved tokens count as spent.
   */
  readonly spent: number;
  /** Net tokens lent to other edges since the last exchange; negative if borrowed. */
  readonly lent: number;
  /** Fraction of all edges that this holder serves, from 0 to 1. */
  readonly share: number;
}

/** Log record of an allowance exchange with one holder. */
export interface AllowanceRecord {
  readonly kind: 'allowance';
  /** Address of the edge's box. */
  readonly box: string;
  /** Incarnation ID of that edge. */
  readonly holder: string;
  /** Increases by 1 per exchange; a retry with the same number is applied once. */
  readonly sequence: number;
  readonly asks: readonly AllowanceAsk[];
}

/** Tokens granted to a holder for one team. */
export interface AllowanceGrant {
  readonly team: string;
  readonly granted: number;
  /** Tokens that can still be granted afterwards. */
  readonly left: number;
  /** Maximum tokens that this holder should hold, excluding reserved ones. */
  readonly mostHeld: number;
}

/** Result of applying an AllowanceRecord. */
export interface AllowanceOutcome {
  readonly kind: 'allowance';
  readonly grants: readonly AllowanceGrant[];
  /** Tokens held by the previous incarnation of the box, if this one is new. */
  readonly writtenOff?: readonly TeamTokenAmount[] | undefined;
}

/** State of one incarnation of an edge. */
interface Holder {
  readonly box: string;
  /** Sequence number of the last exchange. */
  readonly sequence: number;
  /** Grants of the last exchange, repeated on a retry. */
  readonly grants: readonly AllowanceGrant[];
  /** Tokens held and not reserved for requests, by team. */
  readonly held: Map<string, number>;
}

/** Holder as stored by earlier software versions, which keyed it by box. */
interface LegacyHolder extends Omit<Holder, 'box'> {
  readonly holder: string;
}

/** Snapshot of the allowance ledger. */
export interface AllowanceSnapshot {
  readonly granted: readonly (readonly [string, number])[];
  /** Holders by box; empty except in snapshots of earlier versions. */
  readonly holders: readonly (readonly [string, LegacyHolder])[];
  /** Holders by incarnation ID; missing in snapshots of earlier versions. */
  readonly lives?: readonly (readonly [string, Holder])[] | undefined;
}

/**
 * Tracks how many tokens of each team's prepaid budget were granted to edges. Tokens
 * count as spent once granted and become available again only when they are returned.
 */
export class AllowanceLedger {
  private granted = new Map<string, number>();
  /** Holders by incarnation ID, least recently used first. */
  private holdersByIncarnation = new Map<string, Holder>();
  /** Latest incarnation ID by box. */
  private incarnationByBox = new Map<string, string>();

  /** `prepaidTokensOf` returns a team's prepaid tokens in the active configuration. */
  constructor(private readonly prepaidTokensOf: (team: string) => number) {}

  /** Tokens of a team granted to edges and not returned, including spent ones. */
  grantedTokens(team: string): number {
    return this.granted.get(team) ?? 0;
  }

  /** Granted, held and prepaid tokens of a team. */
  grantsOf(team: string): TeamGrantCounts {
    return {
      granted: this.grantedTokens(team),
      held: this.totalHeld(team),
      prepaid: this.prepaidTokensOf(team),
      team,
    };
  }

  /** Returns the ledger's state for a snapshot. */
  snapshot(): AllowanceSnapshot {
    return {
      granted: [...this.granted],
      holders: [],
      lives: [...this.holdersByIncarnation],
    };
  }

  /** Restores the ledger's state from a snapshot. */
  restore({granted, holders, lives}: AllowanceSnapshot): void {
    this.granted = new Map(granted);
    this.holdersByIncarnation = new Map(
      lives ?? holders.map(migrateLegacyHolder),
    );
    this.incarnationByBox = new Map(
      [...this.holdersByIncarnation].map(
        ([incarnationId, {box}]) => [box, incarnationId] as const,
      ),
    );
  }

  /** Applies an allowance exchange with one holder. */
  apply(record: AllowanceRecord): AllowanceOutcome {
    const {asks, box, holder, sequence} = record;
    const existing = this.holdersByIncarnation.get(holder);
    // Drops duplicates, including late ones from an ended incarnation. Otherwise
    // their returned tokens would be counted and granted twice.
    if (existing !== undefined && sequence <= existing.sequence) {
      const grants = sequence === existing.sequence ? existing.grants : [];
      return {grants, kind: 'allowance'};
    }
    const writtenOff = this.writeOffPreviousIncarnation(box, holder);
    const held = existing?.held ?? new Map<string, number>();
    this.storeHolder(holder, {box, grants: [], held, sequence});
    const grants = asks.map((ask) => this.grant(ask, held));
    this.storeHolder(holder, {box, grants, held, sequence});
    return {grants, kind: 'allowance', writtenOff};
  }

  /** Writes off a previous incarnation's tokens: it may have spent any of them. */
  private writeOffPreviousIncarnation(
    box: string,
    incarnationId: string,
  ): TeamTokenAmount[] | undefined {
    const previousId = this.incarnationByBox.get(box);
    if (previousId === undefined || previousId === incarnationId) {
      return undefined;
    }
    const held = this.holdersByIncarnation.get(previousId)?.held;
    const writtenOff = positiveAmounts(held ?? new Map());
    held?.clear();
    return writtenOff;
  }

  private storeHolder(incarnationId: string, holder: Holder): void {
    this.holdersByIncarnation.delete(incarnationId);
    this.holdersByIncarnation.set(incarnationId, holder);
    this.incarnationByBox.set(holder.box, incarnationId);
    const [oldest] = this.holdersByIncarnation.keys();
    if (
      this.holdersByIncarnation.size > MAX_INCARNATIONS &&
      oldest !== undefined
    ) {
      this.removeHolder(oldest);
    }
  }

  private removeHolder(incarnationId: string): void {
    const box = this.holdersByIncarnation.get(incarnationId)?.box;
    this.holdersByIncarnation.delete(incarnationId);
    if (box !== undefined && this.incarnationByBox.get(box) === incarnationId) {
      this.incarnationByBox.delete(box);
    }
  }

  private grant(ask: AllowanceAsk, held: Map<string, number>): AllowanceGrant {
    const {back, lent, need, share, spent, team, want} = ask;
    const previouslyHeld = held.get(team) ?? 0;
    const remaining = previouslyHeld - back - spent - lent;
    held.set(team, remaining);
    const alreadyGranted = Math.max(0, this.grantedTokens(team) - back);
    const available = Math.max(0, this.prepaidTokensOf(team) - alreadyGranted);
    const totalHeld = this.totalHeld(team);
    const maxTotalHeld = this.maxTotalHeld(team, available + totalHeld);
    const fairLimit = maxTotalHeld * Math.min(1, share * FAIR_SHARE_MULTIPLE);
    const maxGrant = Math.max(0, maxTotalHeld - totalHeld) * MAX_GRANT_FRACTION;
    const desired = Math.min(
      want,
      Math.floor(Math.min(maxGrant, fairLimit - remaining)),
    );
    const granted = Math.min(available, Math.max(need, desired));
    this.granted.set(team, alreadyGranted + granted);
    const heldAfter = remaining + granted;
    held.set(team, heldAfter);
    const heldRatio = (totalHeld + granted) / Math.max(1, maxTotalHeld);
    const maxHeld =
      heldRatio > 1
        ? Math.min(fairLimit, Math.max(0, heldAfter) / heldRatio)
        : fairLimit;
    return {
      granted,
      left: available - granted,
      mostHeld: Math.floor(maxHeld),
      team,
    };
  }

  private maxTotalHeld(team: string, unspent: number): number {
    const unspentFraction = unspent / Math.max(1, this.prepaidTokensOf(team));
    const scaledFraction =
      (unspentFraction - SCARCE_FRACTION) * HELD_FRACTION_SLOPE;
    const heldFraction = Math.min(MAX_HELD_FRACTION, scaledFraction);
    return unspent * Math.max(MIN_HELD_FRACTION, heldFraction);
  }

  private totalHeld(team: string): number {
    let sum = 0;
    for (const incarnationId of this.incarnationByBox.values()) {
      sum += this.holdersByIncarnation.get(incarnationId)?.held.get(team) ?? 0;
    }
    return Math.max(0, sum);
  }
}

function positiveAmounts(held: ReadonlyMap<string, number>): TeamTokenAmount[] {
  return [...held]
    .map(([team, amount]) => ({amount, team}))
    .filter(({amount}) => amount > 0);
}

function migrateLegacyHolder([box, legacy]: readonly [
  string,
  LegacyHolder,
]): readonly [string, Holder] {
  const {grants, held, holder, sequence} = legacy;
  return [holder, {box, grants, held, sequence}];
}
