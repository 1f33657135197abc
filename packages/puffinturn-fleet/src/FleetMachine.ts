/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * The replicated state of a fleet: the configuration in force and how much of
 * each tenant's prepaid budget was handed to edges. Tokens count as spent from
 * the moment they are granted; only a returned grant makes them free again.
 */
import {Decoder, Encoder} from 'cbor-x';
import {Machine} from 'puffinturn-log';

import type {FleetConfiguration} from './Configuration';

const encoder = new Encoder({useRecords: false});
const decoder = new Decoder({useRecords: false});

/** Holders remembered; the ones unused for longest are forgotten first. */
const MAX_HOLDERS = 2_000;

/**
 * The part of what is left that one ask may take when the budget runs low, so
 * that one busy edge does not leave nothing for the others.
 */
const SHARE_OF_REST = 1 / 8;

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

/** One tenant's part of an allowance exchange; tokens. */
export interface AllowanceAsk {
  readonly tenant: string;
  /** Tokens without which a waiting request can't run. */
  readonly need: number;
  /** Tokens that would be held in all calm. */
  readonly want: number;
  /** Tokens handed back. */
  readonly back: number;
}

/** Exchanges allowances with one holder. */
export interface AllowanceRecord {
  readonly kind: 'allowance';
  /** One life of an edge. */
  readonly holder: string;
  /** Grows by 1; an exchange sent again under its number is done once. */
  readonly sequence: number;
  readonly asks: readonly AllowanceAsk[];
}

/** What one tenant got; tokens. */
export interface AllowanceGrant {
  readonly tenant: string;
  readonly granted: number;
  /** Tokens that the core can still grant afterwards; below 0 if overdrawn. */
  readonly left: number;
}

/** Every record of the fleet's log. */
export type FleetRecord = AllowanceRecord | ConfigurationRecord;

/** What applying a configuration did. */
export interface ConfigurationOutcome {
  readonly kind: 'configuration';
  readonly adopted: boolean;
  readonly heldVersion: number;
}

/** What applying an allowance exchange did. */
export interface AllowanceOutcome {
  readonly kind: 'allowance';
  readonly grants: readonly AllowanceGrant[];
}

interface Holder {
  sequence: number;
  grants: readonly AllowanceGrant[];
}

interface Image {
  readonly stored: StoredConfiguration | undefined;
  readonly granted: readonly (readonly [string, number])[];
  readonly holders: readonly (readonly [string, Holder])[];
}

/** See the module comment. */
export class FleetMachine extends Machine {
  private held: StoredConfiguration | undefined;
  private granted = new Map<string, number>();
  private holders = new Map<string, Holder>();

  /** Told after every configuration that came into force. */
  constructor(private readonly onConfiguration: () => void = () => undefined) {
    super();
  }

  /** The configuration in force. */
  get stored(): StoredConfiguration | undefined {
    return this.held;
  }

  /** Tokens of a tenant that are in the hands of edges or spent. */
  grantedTo(tenant: string): number {
    return this.granted.get(tenant) ?? 0;
  }

  override apply(record: unknown): AllowanceOutcome | ConfigurationOutcome {
    const fleetRecord = record as FleetRecord;
    return fleetRecord.kind === 'configuration'
      ? this.applyConfiguration(fleetRecord)
      : this.applyAllowance(fleetRecord);
  }

  override snapshot(): Uint8Array {
    const image: Image = {
      granted: [...this.granted],
      holders: [...this.holders],
      stored: this.held,
    };
    return encoder.encode(image);
  }

  override restore(bytes: Uint8Array): void {
    const image = decoder.decode(Buffer.from(bytes)) as Image;
    this.held = image.stored ?? undefined;
    this.granted = new Map(image.granted);
    this.holders = new Map(image.holders);
    this.onConfiguration();
  }

  private applyConfiguration({
    stored,
  }: ConfigurationRecord): ConfigurationOutcome {
    const heldVersion = this.held?.configuration.version ?? -Infinity;
    const {version} = stored.configuration;
    const adopted = version > heldVersion;
    if (adopted) {
      this.held = stored;
      this.onConfiguration();
    }
    return {
      adopted,
      heldVersion: Math.max(version, heldVersion),
      kind: 'configuration',
    };
  }

  private applyAllowance(record: AllowanceRecord): AllowanceOutcome {
    const {asks, holder, sequence} = record;
    const known = this.holders.get(holder);
    if (known !== undefined && sequence <= known.sequence) {
      const grants = sequence === known.sequence ? known.grants : [];
      return {grants, kind: 'allowance'};
    }
    const grants = asks.map((ask) => this.grant(ask));
    this.holders.delete(holder);
    this.holders.set(holder, {grants, sequence});
    const [oldest] = this.holders.keys();
    if (this.holders.size > MAX_HOLDERS && oldest !== undefined) {
      this.holders.delete(oldest);
    }
    return {grants, kind: 'allowance'};
  }

  private grant({back, need, tenant, want}: AllowanceAsk): AllowanceGrant {
    const held = Math.max(0, this.grantedTo(tenant) - back);
    const left = this.prepaidOf(tenant) - held;
    const granted =
      left <= 0
        ? 0
        : Math.min(
            left,
            Math.max(need, Math.min(want, Math.floor(left * SHARE_OF_REST))),
          );
    this.granted.set(tenant, held + granted);
    return {granted, left: left - granted, tenant};
  }

  private prepaidOf(tenant: string): number {
    const found = this.held?.configuration.tenants?.find(
      ({name}) => name === tenant,
    );
    return found?.prepaidTokens ?? 0;
  }
}
