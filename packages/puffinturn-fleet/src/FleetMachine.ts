/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * The replicated state of a fleet: the configuration in force, the halls that are
 * evacuated and how much of each team's prepaid budget was handed to edges. Tokens
 * count as spent from the moment they are granted; only a returned grant makes
 * them free again.
 */
import {Decoder, Encoder} from 'cbor-x';
import type {TeamAmount, TeamGrants} from 'puffinturn-decisions';
import {Machine} from 'puffinturn-log';

import type {FleetConfiguration} from './Configuration';
import type {Evacuations} from './Evacuations';
import {evacuationsAfter, NO_EVACUATIONS} from './Evacuations';
import {unpackConfiguration} from './PackedConfiguration';

const encoder = new Encoder({useRecords: false});
const decoder = new Decoder({useRecords: false});

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
 * cut refuses is served later. A request that needs more still gets it. Served with
 * this, and with 0.7 of the unspent part, 0.05 to 0.45: 78.5 and 77.1 in 100 requests
 * of five days with failures, 75.4 and 75.2 on another deployment; 0.3 to 0.9 in 100
 * fewer on quiet days (docs/design/shifted-work.md).
 */
const PART_HELD_BY_UNSPENT = 1.2;
const SCARCE_PART = 0.2;
const LEAST_PART_HELD = 0.02;
const MOST_PART_HELD = 0.45;

/**
 * A holder may hold this multiple of its edges' share of all edges, so that one
 * that serves a busy hall alone does not hold most tokens; holders lend. Gain: 4
 * in 100 of a budget not lost with such an edge (as above).
 */
const FAIR_SHARES_HELD = 1.5;

/** The part of what may still be granted that one ask gets at most. */
const PART_OF_ROOM = 1 / 2;

/** A configuration together with the text that it was read from. */
export interface StoredConfiguration {
  readonly configuration: FleetConfiguration;
  /** The operator's document as it came. */
  readonly document: string;
}

/** Puts a configuration in force unless a version as high is held. */
export interface ConfigurationRecord {
  readonly kind: 'configuration';
  readonly stored: StoredConfiguration;
}

/** The same, compressed; what control boxes write today. */
export interface PackedConfigurationRecord {
  readonly kind: 'packed-configuration';
  readonly packed: Uint8Array;
}

/** Evacuates a hall, or puts it in service again; one told twice is done once. */
export interface EvacuationRecord {
  readonly kind: 'evacuation';
  readonly hall: string;
  readonly evacuated: boolean;
}

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

/** Every record of the fleet's log. */
export type FleetRecord =
  | AllowanceRecord
  | ConfigurationRecord
  | EvacuationRecord
  | PackedConfigurationRecord;

/** What applying a configuration did. */
export interface ConfigurationOutcome {
  readonly kind: 'configuration';
  readonly adopted: boolean;
  readonly heldVersion: number;
}

/** What applying an evacuation did. */
export interface EvacuationOutcome {
  readonly kind: 'evacuation';
  readonly evacuations: Evacuations;
}

/** What applying any record did. */
export type FleetOutcome =
  AllowanceOutcome | ConfigurationOutcome | EvacuationOutcome;

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

interface Image {
  /** Missing in snapshots from before there were evacuations. */
  readonly evacuations?: Evacuations | undefined;
  readonly stored: StoredConfiguration | undefined;
  readonly granted: readonly (readonly [string, number])[];
  /** By box, in snapshots of a former version. */
  readonly holders: readonly (readonly [string, FormerHolder])[];
  /** By life; missing in snapshots of a former version. */
  readonly lives?: readonly (readonly [string, Holder])[] | undefined;
}

/** See the module comment. */
export class FleetMachine extends Machine {
  private held: StoredConfiguration | undefined;
  private granted = new Map<string, number>();
  /** Lives of edges that have exchanged allowances, the one used last at the end. */
  private lives = new Map<string, Holder>();
  /** The life of each box that was heard of last. */
  private newest = new Map<string, string>();
  private evacuated = NO_EVACUATIONS;

  /** Told after every configuration and evacuation that came into force. */
  constructor(private readonly onChange: () => void = () => undefined) {
    super();
  }

  /** The configuration in force. */
  get stored(): StoredConfiguration | undefined {
    return this.held;
  }

  /** The halls that are evacuated. */
  get evacuations(): Evacuations {
    return this.evacuated;
  }

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

  override apply(record: unknown): FleetOutcome {
    const fleetRecord = record as FleetRecord;
    switch (fleetRecord.kind) {
      case 'allowance':
        return this.applyAllowance(fleetRecord);
      case 'configuration':
        return this.applyConfiguration(fleetRecord.stored);
      case 'evacuation':
        return this.applyEvacuation(fleetRecord);
      case 'packed-configuration':
        return this.applyConfiguration(unpackConfiguration(fleetRecord.packed));
    }
  }

  override snapshot(): Uint8Array {
    const image: Image = {
      evacuations: this.evacuated,
      granted: [...this.granted],
      holders: [],
      lives: [...this.lives],
      stored: this.held,
    };
    return encoder.encode(image);
  }

  override restore(bytes: Uint8Array): void {
    const image = decoder.decode(Buffer.from(bytes)) as Image;
    this.held = image.stored ?? undefined;
    this.granted = new Map(image.granted);
    this.lives = new Map(image.lives ?? image.holders.map(lifeOfFormer));
    this.newest = new Map(
      [...this.lives].map(([life, {box}]) => [box, life] as const),
    );
    this.evacuated = image.evacuations ?? NO_EVACUATIONS;
    this.onChange();
  }

  private applyConfiguration(
    stored: StoredConfiguration,
  ): ConfigurationOutcome {
    const heldVersion = this.held?.configuration.version ?? -Infinity;
    const {version} = stored.configuration;
    const adopted = version > heldVersion;
    if (adopted) {
      this.held = stored;
      this.onChange();
    }
    return {
      adopted,
      heldVersion: Math.max(version, heldVersion),
      kind: 'configuration',
    };
  }

  private applyEvacuation(record: EvacuationRecord): EvacuationOutcome {
    const {evacuated, hall} = record;
    const after = evacuationsAfter(this.evacuated, hall, evacuated);
    if (after !== this.evacuated) {
      this.evacuated = after;
      this.onChange();
    }
    return {evacuations: this.evacuated, kind: 'evacuation'};
  }

  private applyAllowance(record: AllowanceRecord): AllowanceOutcome {
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

  private prepaidOf(team: string): number {
    const found = this.held?.configuration.teams?.find(
      ({name}) => name === team,
    );
    return found?.prepaidTokens ?? 0;
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
