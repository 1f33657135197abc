/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Replicated state machine of a fleet: the current configuration, the evacuated halls,
 * the tokens granted to edges, the allowed service versions and the request quarantine.
 * Each register applies its own records and has its own section in the snapshot.
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

/** Log record: a report of the requests that were in flight when upstreams crashed. */
export interface CrashReportRecord {
  readonly kind: 'crash-report';
  /** Wall-clock time at which the leader received the report, Unix ms. */
  readonly at: number;
  readonly report: CrashReport;
}

/** Outcome of applying a crash report. */
export interface CrashReportOutcome {
  readonly kind: 'crash-report';
  readonly quarantine: Quarantine;
}

/** Any record of the fleet's log. */
export type FleetRecord =
  | AllowanceRecord
  | ConfigurationRecord
  | CrashReportRecord
  | EvacuationRecord
  | PackedConfigurationRecord
  | RolloutRecord;

/** Outcome of applying any record. */
export type FleetOutcome =
  | AllowanceOutcome
  | ConfigurationOutcome
  | CrashReportOutcome
  | EvacuationOutcome
  | RolloutRecordOutcome;

interface FleetSnapshot extends AllowanceImage {
  /** Missing in snapshots of versions without crash reports. */
  readonly crashes?: CrashImage | undefined;
  /** Missing in snapshots of versions without evacuations. */
  readonly evacuations?: Evacuations | undefined;
  /** Missing in snapshots of versions without roll-outs. */
  readonly rollouts?: RolloutImage | undefined;
  readonly stored: StoredConfiguration | undefined;
}

/** Replicated state machine of a fleet. */
export class FleetMachine extends Machine {
  private readonly configurationRegister: ConfigurationRegister;
  private readonly evacuationRegister: EvacuationRegister;
  private readonly rolloutRegister: RolloutRegister;
  private readonly crashRegister = new CrashRegister();
  private readonly allowanceLedger = new AllowanceLedger((team) =>
    this.prepaidTokensOf(team),
  );

  /** Calls `onChange` after each change that boxes have to receive; allowances are exempt. */
  constructor(private readonly onChange: () => void = () => undefined) {
    super();
    this.configurationRegister = new ConfigurationRegister(onChange);
    this.evacuationRegister = new EvacuationRegister(onChange);
    this.rolloutRegister = new RolloutRegister(onChange, (service) =>
      this.isService(service),
    );
  }

  /** The current configuration. */
  get stored(): StoredConfiguration | undefined {
    return this.configurationRegister.stored;
  }

  /** The evacuated halls. */
  get evacuations(): Evacuations {
    return this.evacuationRegister.evacuations;
  }

  /** The versions that may serve requests. */
  get rollouts(): Rollouts {
    return this.rolloutRegister.rollouts;
  }

  /** The requests that no upstream may run. */
  get quarantine(): Quarantine {
    return this.crashRegister.quarantine;
  }

  /** The versions of one service. */
  versionsOf(service: string): ServiceVersions | undefined {
    return this.rolloutRegister.versionsOf(service);
  }

  /** Progress of the newest roll-out order of a service. */
  rolloutProgressOf(service: string): RolloutProgress | undefined {
    return this.rolloutRegister.progressOf(service);
  }

  /** Whether the current configuration contains a service. */
  isService(service: string): boolean {
    const services = this.stored?.configuration.services ?? [];
    return services.some(({name}) => name === service);
  }

  /** Tokens of a team that edges hold or have spent. */
  grantedTo(team: string): number {
    return this.allowanceLedger.grantedTo(team);
  }

  /** Token totals of a team: its budget, the granted tokens, and those that edges hold. */
  grantsOf(team: string): TeamGrants {
    return this.allowanceLedger.grantsOf(team);
  }

  override apply(record: unknown): FleetOutcome {
    const fleetRecord = record as FleetRecord;
    switch (fleetRecord.kind) {
      case 'allowance':
        return this.allowanceLedger.apply(fleetRecord);
      case 'configuration':
        return this.configurationRegister.apply(fleetRecord.stored);
      case 'crash-report':
        return this.applyCrashReport(fleetRecord);
      case 'evacuation':
        return this.evacuationRegister.apply(fleetRecord);
      case 'packed-configuration':
        return this.configurationRegister.apply(
          unpackConfiguration(fleetRecord.packed),
        );
      case 'exposure-block':
      case 'rollout-order':
      case 'rollout-verdict':
      case 'stable-version':
        return this.rolloutRegister.apply(fleetRecord);
    }
  }

  override snapshot(): Uint8Array {
    const snapshot: FleetSnapshot = {
      ...this.allowanceLedger.image(),
      crashes: this.crashRegister.image(),
      evacuations: this.evacuations,
      rollouts: this.rolloutRegister.image(),
      stored: this.stored,
    };
    return encoder.encode(snapshot);
  }

  override restore(bytes: Uint8Array): void {
    const snapshot = decoder.decode(Buffer.from(bytes)) as FleetSnapshot;
    this.configurationRegister.restore(snapshot.stored ?? undefined);
    this.allowanceLedger.restore(snapshot);
    this.crashRegister.restore(snapshot.crashes ?? NO_CRASHES);
    this.evacuationRegister.restore(snapshot.evacuations ?? NO_EVACUATIONS);
    this.rolloutRegister.restore(snapshot.rollouts ?? NO_ROLLOUT_IMAGE);
    this.onChange();
  }

  /** Whether applying a report at this time would release quarantined requests. */
  isQuarantineOver(unixMs: number): boolean {
    return this.crashRegister.hasExpired(unixMs);
  }

  private applyCrashReport({
    at,
    report,
  }: CrashReportRecord): CrashReportOutcome {
    if (this.crashRegister.report(report, at)) {
      this.onChange();
    }
    return {kind: 'crash-report', quarantine: this.quarantine};
  }

  private prepaidTokensOf(team: string): number {
    const teams = this.stored?.configuration.teams;
    return teams?.find(({name}) => name === team)?.prepaidTokens ?? 0;
  }
}
