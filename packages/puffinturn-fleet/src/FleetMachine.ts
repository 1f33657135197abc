/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Replicated state machine of a fleet: the current configuration, the evacuated halls,
 * the tokens granted to edges, the allowed service versions and the request quarantine.
 * Each registry applies its own records and has its own section in the snapshot.
 */
import {Decoder, Encoder} from 'cbor-x';
import type {TeamGrantCounts} from 'puffinturn-decisions';
import {StateMachine} from 'puffinturn-log';
import type {
  Answer,
  CrashReport,
  CrashSnapshot,
  Quarantine,
  QuarantineEntry,
} from 'puffinturn-quarantine';
import {CrashRegistry, EMPTY_CRASH_SNAPSHOT} from 'puffinturn-quarantine';

import type {
  AllowanceOutcome,
  AllowanceRecord,
  AllowanceSnapshot,
} from './AllowanceLedger';
import {AllowanceLedger} from './AllowanceLedger';
import type {
  ConfigurationOutcome,
  ConfigurationRecord,
  PackedConfigurationRecord,
  StoredConfiguration,
} from './ConfigurationRegistry';
import {ConfigurationRegistry} from './ConfigurationRegistry';
import type {
  DepartureOutcome,
  DepartureRecord,
  DepartureSnapshot,
} from './DepartureRegistry';
import {DepartureRegistry} from './DepartureRegistry';
import type {EvacuationOutcome, EvacuationRecord} from './EvacuationRegistry';
import {EvacuationRegistry} from './EvacuationRegistry';
import type {Evacuations} from './Evacuations';
import {NO_EVACUATIONS} from './Evacuations';
import type {EvacuateRequest} from './FleetMessages';
import {unpackConfiguration} from './PackedConfiguration';
import type {
  RolloutProgress,
  RolloutRecord,
  RolloutRecordOutcome,
  RolloutSnapshot,
} from './RolloutRegistry';
import {EMPTY_ROLLOUT_SNAPSHOT, RolloutRegistry} from './RolloutRegistry';
import type {Rollouts, ServiceVersions} from './Rollouts';
import type {
  VersionRecord,
  VersionRecordOutcome,
  VersionSnapshot,
} from './VersionRegistry';
import {EMPTY_VERSION_SNAPSHOT, VersionRegistry} from './VersionRegistry';

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
  | DepartureRecord
  | EvacuationRecord
  | PackedConfigurationRecord
  | RolloutRecord
  | VersionRecord;

/** Outcome of applying any record. */
export type FleetOutcome =
  | AllowanceOutcome
  | ConfigurationOutcome
  | CrashReportOutcome
  | DepartureOutcome
  | EvacuationOutcome
  | RolloutRecordOutcome
  | VersionRecordOutcome;

interface FleetSnapshot extends AllowanceSnapshot {
  /** Missing in snapshots of versions without crash reports. */
  readonly crashes?: CrashSnapshot | undefined;
  /** Missing in snapshots of versions without departures. */
  readonly departures?: DepartureSnapshot | undefined;
  /** Missing in snapshots of versions without evacuations. */
  readonly evacuations?: Evacuations | undefined;
  /** Missing in snapshots of versions without rollouts. */
  readonly rollouts?: RolloutSnapshot | undefined;
  readonly stored: StoredConfiguration | undefined;
  /** Missing in snapshots of software that had no registry of versions. */
  readonly versions?: VersionSnapshot | undefined;
}

/** Replicated state machine of a fleet. */
export class FleetMachine extends StateMachine {
  /** The upstreams that have announced their departure. */
  readonly departures: DepartureRegistry;
  /** The versions of services at which streams may have begun. */
  readonly versions: VersionRegistry;
  private readonly configurationRegistry: ConfigurationRegistry;
  private readonly evacuationRegistry: EvacuationRegistry;
  private readonly rolloutRegistry: RolloutRegistry;
  private readonly crashRegistry = new CrashRegistry();
  private readonly allowanceLedger = new AllowanceLedger((team) =>
    this.prepaidTokensOf(team),
  );

  /** Calls `onChange` after each change that boxes have to receive; allowances are exempt. */
  constructor(private readonly onChange: () => void = () => undefined) {
    super();
    this.configurationRegistry = new ConfigurationRegistry(onChange);
    this.departures = new DepartureRegistry(onChange);
    this.evacuationRegistry = new EvacuationRegistry(onChange);
    this.rolloutRegistry = new RolloutRegistry(onChange, (service) =>
      this.isService(service),
    );
    this.versions = new VersionRegistry(onChange);
  }

  /** The current configuration. */
  get storedConfiguration(): StoredConfiguration | undefined {
    return this.configurationRegistry.current;
  }

  /** How long streams may be served and resumed under the current configuration, ms. */
  get streamLifetimeMs(): number {
    return this.configurationRegistry.streamLifetimeMs;
  }

  /** The evacuated halls. */
  get evacuations(): Evacuations {
    return this.evacuationRegistry.evacuations;
  }

  /** Whether an order may be a delayed copy that would undo a newer one. */
  isEvacuationOutdated(request: EvacuateRequest): boolean {
    return this.evacuationRegistry.isOutdated(request);
  }

  /** The versions that may serve requests. */
  get rollouts(): Rollouts {
    return this.rolloutRegistry.rollouts;
  }

  /** The requests that no upstream may run. */
  get quarantine(): Quarantine {
    return this.crashRegistry.quarantine;
  }

  /** The versions of one service. */
  getVersions(service: string): ServiceVersions | undefined {
    return this.rolloutRegistry.getVersions(service);
  }

  /** Progress of the newest rollout order of a service. */
  getRolloutProgress(service: string): RolloutProgress | undefined {
    return this.rolloutRegistry.getProgress(service);
  }

  /** Whether the current configuration contains a service. */
  isService(service: string): boolean {
    const services = this.storedConfiguration?.configuration.services ?? [];
    return services.some(({name}) => name === service);
  }

  /** Tokens of a team that edges hold or have spent. */
  grantedTokens(team: string): number {
    return this.allowanceLedger.grantedTokens(team);
  }

  /** Token totals of a team: its budget, the granted tokens, and those that edges hold. */
  tokenTotals(team: string): TeamGrantCounts {
    return this.allowanceLedger.grantsOf(team);
  }

  override apply(record: unknown): FleetOutcome {
    const fleetRecord = record as FleetRecord;
    switch (fleetRecord.kind) {
      case 'allowance':
        return this.allowanceLedger.apply(fleetRecord);
      case 'configuration':
        return this.configurationRegistry.apply(fleetRecord.stored);
      case 'crash-report':
        return this.applyCrashReport(fleetRecord);
      case 'departure':
        return this.departures.apply(fleetRecord);
      case 'evacuation':
        return this.evacuationRegistry.apply(fleetRecord);
      case 'packed-configuration':
        return this.configurationRegistry.apply(
          unpackConfiguration(fleetRecord.packed),
        );
      case 'exposure-block':
      case 'rollout-order':
      case 'rollout-verdict':
      case 'stable-version':
        return this.rolloutRegistry.apply(fleetRecord);
      case 'version-added':
      case 'version-removed':
        return this.versions.apply(fleetRecord);
    }
  }

  override snapshot(): Uint8Array {
    const snapshot: FleetSnapshot = {
      ...this.allowanceLedger.snapshot(),
      crashes: this.crashRegistry.snapshot(),
      departures: this.departures.snapshot(),
      evacuations: this.evacuations,
      rollouts: this.rolloutRegistry.snapshot(),
      stored: this.storedConfiguration,
      versions: this.versions.snapshot(),
    };
    return encoder.encode(snapshot);
  }

  override restore(bytes: Uint8Array): void {
    const snapshot = decoder.decode(Buffer.from(bytes)) as FleetSnapshot;
    this.configurationRegistry.restore(snapshot.stored ?? undefined);
    this.allowanceLedger.restore(snapshot);
    this.crashRegistry.restore(snapshot.crashes ?? EMPTY_CRASH_SNAPSHOT);
    this.departures.restore(snapshot.departures ?? []);
    this.evacuationRegistry.restore(snapshot.evacuations ?? NO_EVACUATIONS);
    this.rolloutRegistry.restore(snapshot.rollouts ?? EMPTY_ROLLOUT_SNAPSHOT);
    this.versions.restore(snapshot.versions ?? EMPTY_VERSION_SNAPSHOT);
    this.onChange();
  }

  /** Whether an empty report at this time, Unix ms, would change the quarantine. */
  isQuarantineUpdateDue(unixMs: number): boolean {
    return this.crashRegistry.isUpdateDue(unixMs);
  }

  /** Whether prompt parts are suspects that may have to be quarantined soon. */
  get hasSuspectParts(): boolean {
    return this.crashRegistry.hasSuspectParts;
  }

  /** Quarantined requests and prompt parts, with their evidence. */
  get quarantineEntries(): readonly QuarantineEntry[] {
    return this.crashRegistry.entries;
  }

  /** Whether a report of an answer at this time, Unix ms, would change anything. */
  wouldClear(answer: Answer, unixMs: number): boolean {
    return this.crashRegistry.wouldClear(answer, unixMs);
  }

  private applyCrashReport({
    at,
    report,
  }: CrashReportRecord): CrashReportOutcome {
    if (this.crashRegistry.applyReport(report, at)) {
      this.onChange();
    }
    return {kind: 'crash-report', quarantine: this.quarantine};
  }

  private prepaidTokensOf(team: string): number {
    const teams = this.storedConfiguration?.configuration.teams;
    return teams?.find(({name}) => name === team)?.prepaidTokens ?? 0;
  }
}
