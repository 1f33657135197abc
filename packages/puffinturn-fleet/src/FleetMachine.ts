/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * The replicated state of a fleet: the configuration in force, the halls that are
 * evacuated, the tokens that edges were granted and the versions that may serve. Each
 * part applies its own records and has its own place in the snapshot.
 */
import {Decoder, Encoder} from 'cbor-x';
import type {TeamGrants} from 'puffinturn-decisions';
import {Machine} from 'puffinturn-log';
import type {CrashImage, CrashReport, Quarantine} from 'puffinturn-quarantine';
import {CrashRegister, NO_CRASHES} from 'puffinturn-quarantine';

import type {
  AllowanceImage,
  AllowanceOutcome,
  AllowanceRecord,
} from './AllowanceLedger';
import {AllowanceLedger} from './AllowanceLedger';
import type {
  ConfigurationOutcome,
  ConfigurationRecord,
  PackedConfigurationRecord,
  StoredConfiguration,
} from './ConfigurationRegister';
import {ConfigurationRegister} from './ConfigurationRegister';
import type {EvacuationOutcome, EvacuationRecord} from './EvacuationRegister';
import {EvacuationRegister} from './EvacuationRegister';
import type {Evacuations} from './Evacuations';
import {NO_EVACUATIONS} from './Evacuations';
import {unpackConfiguration} from './PackedConfiguration';
import type {
  RolloutImage,
  RolloutProgress,
  RolloutRecord,
  RolloutRecordOutcome,
} from './RolloutRegister';
import {NO_ROLLOUT_IMAGE, RolloutRegister} from './RolloutRegister';
import type {Rollouts, ServiceVersions} from './Rollouts';

const encoder = new Encoder({useRecords: false});
const decoder = new Decoder({useRecords: false});

/** Adds to what speaks against requests that were at crashes. */
export interface CrashReportRecord {
  readonly kind: 'crash-report';
  /** When the leader took it by its time of day, Unix ms. */
  readonly at: number;
  readonly report: CrashReport;
}

/** What applying a report of crashes did. */
export interface CrashReportOutcome {
  readonly kind: 'crash-report';
  readonly quarantine: Quarantine;
}

/** Every record of the fleet's log. */
export type FleetRecord =
  | AllowanceRecord
  | ConfigurationRecord
  | CrashReportRecord
  | EvacuationRecord
  | PackedConfigurationRecord
  | RolloutRecord;

/** What applying any record did. */
export type FleetOutcome =
  | AllowanceOutcome
  | ConfigurationOutcome
  | CrashReportOutcome
  | EvacuationOutcome
  | RolloutRecordOutcome;

interface Image extends AllowanceImage {
  /** Missing in snapshots from before crashes were reported. */
  readonly crashes?: CrashImage | undefined;
  /** Missing in snapshots from before there were evacuations. */
  readonly evacuations?: Evacuations | undefined;
  /** Missing in snapshots from before there were roll-outs. */
  readonly rollouts?: RolloutImage | undefined;
  readonly stored: StoredConfiguration | undefined;
}

/** See the module comment. */
export class FleetMachine extends Machine {
  private readonly configuration: ConfigurationRegister;
  private readonly evacuated: EvacuationRegister;
  private readonly rolledOut: RolloutRegister;
  private readonly crashes = new CrashRegister();
  private readonly allowances = new AllowanceLedger((team) =>
    this.prepaidOf(team),
  );

  /** Told after every change that boxes have to hear of, not of allowances. */
  constructor(private readonly onChange: () => void = () => undefined) {
    super();
    this.configuration = new ConfigurationRegister(onChange);
    this.evacuated = new EvacuationRegister(onChange);
    this.rolledOut = new RolloutRegister(onChange, (service) =>
      this.isService(service),
    );
  }

  /** The configuration in force. */
  get stored(): StoredConfiguration | undefined {
    return this.configuration.stored;
  }

  /** The halls that are evacuated. */
  get evacuations(): Evacuations {
    return this.evacuated.evacuations;
  }

  /** The versions that may serve. */
  get rollouts(): Rollouts {
    return this.rolledOut.rollouts;
  }

  /** The requests that no upstream is to run. */
  get quarantine(): Quarantine {
    return this.crashes.quarantine;
  }

  /** The versions of one service. */
  versionsOf(service: string): ServiceVersions | undefined {
    return this.rolledOut.versionsOf(service);
  }

  /** What the log knows besides of the newest order for a service. */
  rolloutProgressOf(service: string): RolloutProgress | undefined {
    return this.rolledOut.progressOf(service);
  }

  /** Whether the configuration in force names a service. */
  isService(service: string): boolean {
    const services = this.stored?.configuration.services ?? [];
    return services.some(({name}) => name === service);
  }

  /** Tokens of a team that are in the hands of edges or spent. */
  grantedTo(team: string): number {
    return this.allowances.grantedTo(team);
  }

  /** The same with what there is in all, and what is in the hands of edges. */
  grantsOf(team: string): TeamGrants {
    return this.allowances.grantsOf(team);
  }

  override apply(record: unknown): FleetOutcome {
    const fleetRecord = record as FleetRecord;
    switch (fleetRecord.kind) {
      case 'allowance':
        return this.allowances.apply(fleetRecord);
      case 'configuration':
        return this.configuration.apply(fleetRecord.stored);
      case 'crash-report':
        return this.takeCrashes(fleetRecord);
      case 'evacuation':
        return this.evacuated.apply(fleetRecord);
      case 'packed-configuration':
        return this.configuration.apply(
          unpackConfiguration(fleetRecord.packed),
        );
      case 'exposure-block':
      case 'rollout-order':
      case 'rollout-verdict':
      case 'stable-version':
        return this.rolledOut.apply(fleetRecord);
    }
  }

  override snapshot(): Uint8Array {
    const image: Image = {
      ...this.allowances.image(),
      crashes: this.crashes.image(),
      evacuations: this.evacuations,
      rollouts: this.rolledOut.image(),
      stored: this.stored,
    };
    return encoder.encode(image);
  }

  override restore(bytes: Uint8Array): void {
    const image = decoder.decode(Buffer.from(bytes)) as Image;
    this.configuration.restore(image.stored ?? undefined);
    this.allowances.restore(image);
    this.crashes.restore(image.crashes ?? NO_CRASHES);
    this.evacuated.restore(image.evacuations ?? NO_EVACUATIONS);
    this.rolledOut.restore(image.rollouts ?? NO_ROLLOUT_IMAGE);
    this.onChange();
  }

  /** Whether a report, even an empty one, would let quarantined requests run again. */
  isQuarantineOver(at: number): boolean {
    return this.crashes.hasExpired(at);
  }

  private takeCrashes({at, report}: CrashReportRecord): CrashReportOutcome {
    if (this.crashes.report(report, at)) {
      this.onChange();
    }
    return {kind: 'crash-report', quarantine: this.quarantine};
  }

  private prepaidOf(team: string): number {
    const teams = this.stored?.configuration.teams;
    return teams?.find(({name}) => name === team)?.prepaidTokens ?? 0;
  }
}
