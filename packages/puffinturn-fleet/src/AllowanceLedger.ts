/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {TeamGrantCounts, TeamTokenAmount} from 'puffinturn-decisions';
import type {MachineTime} from 'shared';
import {elapsedBetween} from 'shared';

import type {SentLimit, SpendingLimit} from './SpendingLimit';
import {provablyUntaken} from './SpendingLimit';

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
  /**
   * What the edge takes from its balance from now on; undefined if it may take all of
   * it, and in asks of earlier software versions.
   */
  readonly limit?: SpendingLimit | undefined;
}

/** An allowance exchange of one edge, as sent to the control plane. */
export interface AllowanceRequest {
  /** Address of the edge's box. */
  readonly box: string;
  /** Incarnation ID of that edge. */
  readonly holder: string;
  /** Increases by 1 per exchange; a retry with the same number is applied once. */
  readonly sequence: number;
  readonly asks: readonly AllowanceAsk[];
  /**
   * When this incarnation of the edge had started, by its machine: no other process of
   * the box was running then. Undefined if the machine can't tell.
   */
  readonly startedAt?: MachineTime | undefined;
  /** When the exchange was first sent, by the same clock. */
  readonly sentAt?: MachineTime | undefined;
}

/** Log record of an allowance exchange. */
export interface AllowanceRecord extends AllowanceRequest {
  readonly kind: 'allowance';
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
  /** Tokens lost with the previous incarnation of the box, if this one is new. */
  readonly writtenOff?: readonly TeamTokenAmount[] | undefined;
  /** Tokens that the previous incarnation provably left, and that can be granted again. */
  readonly reclaimed?: readonly TeamTokenAmount[] | undefined;
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
  /** The edge's spending limits since its last exchanges, by team. */
  readonly limits: Map<string, SentLimit>;
  readonly startedAt: MachineTime | undefined;
  /** Whether the tokens were reclaimed, so that later exchanges must have no effect. */
  readonly isEnded: boolean;
}

/** The incarnation that a box had before another one. */
interface PreviousIncarnation {
  readonly id: string;
  readonly state: Holder;
}

/** Holder as stored by software versions without spending limits. */
type StoredHolder = Omit<Holder, 'isEnded' | 'limits' | 'startedAt'> &
  Partial<Holder>;

/** Holder as stored by earlier software versions, which keyed it by box. */
interface LegacyHolder extends Omit<StoredHolder, 'box'> {
  readonly holder: string;
}

/** Snapshot of the allowance ledger. */
export interface AllowanceSnapshot {
  readonly granted: readonly (readonly [string, number])[];
  /** Holders by box; empty except in snapshots of earlier versions. */
  readonly holders: readonly (readonly [string, LegacyHolder])[];
  /** Holders by incarnation ID; missing in snapshots of earlier versions. */
  readonly lives?: readonly (readonly [string, StoredHolder])[] | undefined;
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
      (lives ?? holders.map(migrateLegacyHolder)).map(completeHolder),
    );
    this.incarnationByBox = new Map(
      [...this.holdersByIncarnation].map(
        ([incarnationId, {box}]) => [box, incarnationId] as const,
      ),
    );
  }

  /** Applies an allowance exchange with one holder. */
  apply(record: AllowanceRecord): AllowanceOutcome {
    const {asks, box, holder, sequence, startedAt} = record;
    const existing = this.holdersByIncarnation.get(holder);
    // Drops duplicates, including late ones from an ended incarnation. Otherwise
    // their returned tokens would be counted and granted twice.
    if (existing !== undefined && sequence <= existing.sequence) {
      const grants = sequence === existing.sequence ? existing.grants : [];
      return {grants, kind: 'allowance'};
    }
    const previous = this.previousIncarnation(record);
    if (existing?.isEnded === true || isOutdated(startedAt, previous)) {
      return {grants: [], kind: 'allowance'};
    }
    const ended =
      previous === undefined
        ? undefined
        : this.endIncarnation(previous, startedAt);
    const next: Holder = {
      box,
      grants: [],
      held: existing?.held ?? new Map<string, number>(),
      isEnded: false,
      limits: existing?.limits ?? new Map<string, SentLimit>(),
      sequence,
      startedAt,
    };
    this.storeHolder(holder, next);
    const grants = asks.map((ask) => this.grant(ask, next.held));
    recordLimits(next.limits, record);
    this.storeHolder(holder, {...next, grants});
    return {
      grants,
      kind: 'allowance',
      reclaimed: ended?.reclaimed,
      writtenOff: ended?.writtenOff,
    };
  }

  /** The latest incarnation of the box, unless it is the sender of the exchange. */
  private previousIncarnation({
    box,
    holder,
  }: AllowanceRecord): PreviousIncarnation | undefined {
    const id = this.incarnationByBox.get(box);
    const state =
      id === undefined ? undefined : this.holdersByIncarnation.get(id);
    return id === undefined || state === undefined || id === holder
      ? undefined
      : {id, state};
  }

  /**
   * Ends an incarnation: reclaims the tokens that it provably left, and writes the others
   * off, as it may have spent any of them.
   */
  private endIncarnation(
    {id, state}: PreviousIncarnation,
    successorStartedAt: MachineTime | undefined,
  ): Pick<AllowanceOutcome, 'reclaimed' | 'writtenOff'> {
    const reclaimed =
      successorStartedAt === undefined
        ? []
        : this.reclaim(state, successorStartedAt);
    const writtenOff = positiveAmounts(state.held);
    state.held.clear();
    const isEnded = reclaimed.length > 0;
    this.holdersByIncarnation.set(id, {...state, isEnded});
    return {reclaimed, writtenOff};
  }

  /** Makes the provably untaken tokens of an ended incarnation available again. */
  private reclaim(
    {held, limits}: Holder,
    successorStartedAt: MachineTime,
  ): TeamTokenAmount[] {
    const reclaimed: TeamTokenAmount[] = [];
    for (const [team, limit] of limits) {
      const balance = held.get(team) ?? 0;
      const amount = provablyUntaken(balance, limit, successorStartedAt);
      if (amount > 0) {
        held.set(team, balance - amount);
        this.granted.set(team, this.grantedTokens(team) - amount);
        reclaimed.push({amount, team});
      }
    }
    return reclaimed;
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

/** Whether an incarnation that started then had ended before the previous one started. */
function isOutdated(
  startedAt: MachineTime | undefined,
  previous: PreviousIncarnation | undefined,
): boolean {
  const previousStartedAt = previous?.state.startedAt;
  if (startedAt === undefined || previousStartedAt === undefined) {
    return false;
  }
  return (elapsedBetween(startedAt, previousStartedAt) ?? 0) > 0;
}

/** Replaces the limits of the teams in an exchange. */
function recordLimits(
  limits: Map<string, SentLimit>,
  {asks, sentAt}: AllowanceRecord,
): void {
  for (const {limit, team} of asks) {
    if (limit === undefined || sentAt === undefined) {
      limits.delete(team);
    } else {
      limits.set(team, {...limit, sentAt});
    }
  }
}

/** Adds the fields that earlier software versions did not store. */
function completeHolder([incarnationId, stored]: readonly [
  string,
  StoredHolder,
]): readonly [string, Holder] {
  const {isEnded = false, limits = new Map(), startedAt} = stored;
  return [incarnationId, {...stored, isEnded, limits, startedAt}];
}

function migrateLegacyHolder([box, legacy]: readonly [
  string,
  LegacyHolder,
]): readonly [string, StoredHolder] {
  const {grants, held, holder, sequence} = legacy;
  return [holder, {box, grants, held, sequence}];
}
