/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {VersionResponseCounts} from 'puffinturn-decisions';

import type {
  Rollout,
  RolloutOrderOutcome,
  Rollouts,
  RolloutState,
  ServiceVersions,
} from './Rollouts';
import {ROLLOUT_ORDER_OUTCOME, ROLLOUT_STATE} from './Rollouts';

/** Sets the stable version of a service if none is known. */
export interface StableVersionRecord {
  readonly kind: 'stable-version';
  readonly service: string;
  readonly version: string;
}

/** Starts a rollout. */
export interface RolloutOrderRecord {
  readonly kind: 'rollout-order';
  readonly service: string;
  readonly targetVersion: string;
  readonly durationMs: number;
  /** Stable version according to the leader; used if none is known yet. */
  readonly stableVersion: string;
  /**
   * Number of the newest order known to the leader. An order for the same version with
   * a higher number makes this one a duplicate.
   */
  readonly knownNumber: number;
  /** Wall-clock time at which the leader received the order, Unix ms. */
  readonly orderedAt: number;
}

/** Allocates exposure in the log before the leader grants it to edges. */
export interface ExposureBlockRecord {
  readonly kind: 'exposure-block';
  readonly service: string;
  readonly number: number;
  /** Total exposure that the leader may grant until the next record. */
  readonly granted: number;
  /** Requests to the service since the order. */
  readonly counted: number;
  /** Time since the order, ms. */
  readonly elapsedMs: number;
}

/** Changes the state of a rollout. */
export interface RolloutVerdictRecord {
  readonly kind: 'rollout-verdict';
  readonly service: string;
  readonly number: number;
  readonly state: RolloutState;
  /** Reason for the change; a VerdictCause. */
  readonly cause: string;
  /** Time since the order, ms. */
  readonly elapsedMs: number;
  /** Response counts on which the verdict is based. */
  readonly figures: readonly VersionResponseCounts[];
}

/** Any record about versions. */
export type RolloutRecord =
  | ExposureBlockRecord
  | RolloutOrderRecord
  | RolloutVerdictRecord
  | StableVersionRecord;

/** Result of applying a RolloutRecord. */
export interface RolloutRecordOutcome {
  readonly kind: 'rollout';
  readonly order: RolloutOrderOutcome;
  readonly versions: ServiceVersions | undefined;
}

/** Progress of a rollout that is kept in the log but not sent to boxes. */
export interface RolloutProgress {
  readonly number: number;
  /** Wall-clock time of the order, Unix ms. */
  readonly orderedAt: number;
  /** Total exposure allocated so far; an upper bound of what was granted. */
  readonly granted: number;
  /** Requests to the service since the order; a lower bound. */
  readonly counted: number;
  /** Time since the order as of the newest record, ms. */
  readonly elapsedMs: number;
  /** The newest verdict; undefined before the first one. */
  readonly verdict: RolloutVerdictRecord | undefined;
}

interface ServiceEntry {
  readonly versions: ServiceVersions;
  readonly progress: RolloutProgress | undefined;
}

/** State of the registry in a snapshot. */
export interface RolloutSnapshot {
  readonly revision: number;
  readonly services: readonly ServiceEntry[];
}

/** The empty state; also used for snapshots that predate rollouts. */
export const EMPTY_ROLLOUT_SNAPSHOT: RolloutSnapshot = {
  revision: 0,
  services: [],
};

/** Allowed state transitions; completed and rolled back are final. */
const NEXT_STATES: Readonly<Record<RolloutState, readonly RolloutState[]>> = {
  [ROLLOUT_STATE.completed]: [],
  [ROLLOUT_STATE.exposing]: [ROLLOUT_STATE.rolledBack, ROLLOUT_STATE.shifting],
  [ROLLOUT_STATE.rolledBack]: [],
  [ROLLOUT_STATE.shifting]: [ROLLOUT_STATE.completed, ROLLOUT_STATE.rolledBack],
};

/** Whether a rollout has no outcome yet. */
export function isInProgress(
  rollout: Pick<Rollout, 'state'> | undefined,
): boolean {
  return rollout !== undefined && NEXT_STATES[rollout.state].length > 0;
}

/**
 * The replicated state of all rollouts: the stable version and the newest order of each
 * service, its allocated exposure and its verdict. Applying a record is deterministic
 * and idempotent.
 */
export class RolloutRegistry {
  private readonly entries = new Map<string, ServiceEntry>();
  private revision = 0;
  private cachedRollouts: Rollouts | undefined;

  /**
   * `onChange` is called after every change that is sent to boxes; `isService` returns
   * whether the configuration contains a service.
   */
  constructor(
    private readonly onChange: () => void,
    private readonly isService: (service: string) => boolean,
  ) {}

  /** The state that is sent to boxes. */
  get rollouts(): Rollouts {
    this.cachedRollouts ??= {
      revision: this.revision,
      services: [...this.entries.values()].map(({versions}) => versions),
    };
    return this.cachedRollouts;
  }

  /** Returns the versions of one service. */
  getVersions(service: string): ServiceVersions | undefined {
    return this.entries.get(service)?.versions;
  }

  /** Returns the progress of the newest order for a service. */
  getProgress(service: string): RolloutProgress | undefined {
    return this.entries.get(service)?.progress;
  }

  /** Applies a record of the log. */
  apply(record: RolloutRecord): RolloutRecordOutcome {
    const order = this.applyRecord(record);
    const versions = this.getVersions(record.service);
    return {kind: 'rollout', order, versions};
  }

  /** Returns the state for a snapshot. */
  snapshot(): RolloutSnapshot {
    return {revision: this.revision, services: [...this.entries.values()]};
  }

  /** Replaces the state by that of a snapshot. */
  restore({revision, services}: RolloutSnapshot): void {
    this.entries.clear();
    for (const entry of services) {
      this.entries.set(entry.versions.service, entry);
    }
    this.revision = revision;
    this.cachedRollouts = undefined;
  }

  private applyRecord(record: RolloutRecord): RolloutOrderOutcome {
    switch (record.kind) {
      case 'exposure-block':
        this.applyBlock(record);
        return ROLLOUT_ORDER_OUTCOME.accepted;
      case 'rollout-order':
        return this.applyOrder(record);
      case 'rollout-verdict':
        this.applyVerdict(record);
        return ROLLOUT_ORDER_OUTCOME.accepted;
      case 'stable-version':
        this.applyStableVersion(record);
        return ROLLOUT_ORDER_OUTCOME.accepted;
    }
  }

  private applyStableVersion({service, version}: StableVersionRecord): void {
    if (this.entries.has(service)) {
      return;
    }
    const versions = {rollout: undefined, service, stableVersion: version};
    this.setEntry({progress: undefined, versions});
  }

  private applyOrder(record: RolloutOrderRecord): RolloutOrderOutcome {
    const {knownNumber, service, targetVersion} = record;
    if (!this.isService(service)) {
      return ROLLOUT_ORDER_OUTCOME.unknownService;
    }
    const newest = this.getVersions(service)?.rollout;
    const isSameVersion = newest?.targetVersion === targetVersion;
    const isDuplicate = newest !== undefined && newest.number > knownNumber;
    if (
      isSameVersion &&
      (isDuplicate || newest.state !== ROLLOUT_STATE.rolledBack)
    ) {
      return ROLLOUT_ORDER_OUTCOME.accepted;
    }
    if (isInProgress(newest)) {
      return ROLLOUT_ORDER_OUTCOME.conflict;
    }
    this.startRollout(record, (newest?.number ?? 0) + 1);
    return ROLLOUT_ORDER_OUTCOME.accepted;
  }

  private startRollout(record: RolloutOrderRecord, number: number): void {
    const {durationMs, orderedAt, service, targetVersion} = record;
    const {stableVersion = record.stableVersion} =
      this.getVersions(service) ?? {};
    // A rollout to the version that already serves is complete.
    const state =
      targetVersion === stableVersion
        ? ROLLOUT_STATE.completed
        : ROLLOUT_STATE.exposing;
    const rollout = {durationMs, number, state, targetVersion};
    this.setEntry({
      progress: {
        counted: 0,
        elapsedMs: 0,
        granted: 0,
        number,
        orderedAt,
        verdict: undefined,
      },
      versions: {rollout, service, stableVersion},
    });
  }

  private applyBlock(record: ExposureBlockRecord): void {
    const {counted, elapsedMs, granted, number, service} = record;
    const entry = this.entries.get(service);
    if (entry?.progress?.number !== number) {
      return;
    }
    const {progress, versions} = entry;
    this.entries.set(service, {
      progress: {
        ...progress,
        counted: Math.max(progress.counted, counted),
        elapsedMs: Math.max(progress.elapsedMs, elapsedMs),
        granted: Math.max(progress.granted, granted),
      },
      versions,
    });
  }

  private applyVerdict(record: RolloutVerdictRecord): void {
    const {elapsedMs, number, service, state} = record;
    const entry = this.entries.get(service);
    const rollout = entry?.versions.rollout;
    if (
      entry?.progress === undefined ||
      rollout?.number !== number ||
      !NEXT_STATES[rollout.state].includes(state)
    ) {
      return;
    }
    const stableVersion =
      state === ROLLOUT_STATE.completed
        ? rollout.targetVersion
        : entry.versions.stableVersion;
    this.setEntry({
      progress: {
        ...entry.progress,
        elapsedMs: Math.max(entry.progress.elapsedMs, elapsedMs),
        verdict: record,
      },
      versions: {rollout: {...rollout, state}, service, stableVersion},
    });
  }

  private setEntry(entry: ServiceEntry): void {
    this.entries.set(entry.versions.service, entry);
    this.revision += 1;
    this.cachedRollouts = undefined;
    this.onChange();
  }
}
