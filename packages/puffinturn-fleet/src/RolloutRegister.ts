/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * The versions of all services as the records of the log leave them: which version is
 * stable, the newest order, how much of its exposure was handed out, and its verdict.
 * Records carry all that they need: applying one reads no clock, and one that is
 * applied again changes nothing.
 */
import type {VersionAnswers} from 'puffinturn-decisions';

import type {
  Rollout,
  RolloutOrderOutcome,
  Rollouts,
  RolloutState,
  ServiceVersions,
} from './Rollouts';
import {ROLLOUT_ORDER, ROLLOUT_STATE} from './Rollouts';

/** Names the stable version of a service unless one is known. */
export interface StableVersionRecord {
  readonly kind: 'stable-version';
  readonly service: string;
  readonly version: string;
}

/** Begins a roll-out. */
export interface RolloutOrderRecord {
  readonly kind: 'rollout-order';
  readonly service: string;
  readonly targetVersion: string;
  readonly durationMs: number;
  /** The stable version as the leader sees it, where none is known before. */
  readonly stableVersion: string;
  /**
   * The number of the newest order that the leader knew of; where there is a newer
   * one for the same version, this order is a copy of it.
   */
  readonly knownNumber: number;
  /** When the leader took it by its time of day, Unix ms. */
  readonly orderedAt: number;
}

/** Takes exposure out of the log before the leader grants it to edges. */
export interface ExposureBlockRecord {
  readonly kind: 'exposure-block';
  readonly service: string;
  readonly number: number;
  /** The most that the leader grants before it takes the next block. */
  readonly granted: number;
  /** Requests of the service counted so far. */
  readonly counted: number;
  /** Time since the order, ms. */
  readonly elapsedMs: number;
}

/** Moves a roll-out on, or ends it. */
export interface RolloutVerdictRecord {
  readonly kind: 'rollout-verdict';
  readonly service: string;
  readonly number: number;
  readonly state: RolloutState;
  /** Why, in one word. */
  readonly cause: string;
  /** Time since the order, ms. */
  readonly elapsedMs: number;
  /** What decided. */
  readonly figures: readonly VersionAnswers[];
}

/** Every record that is about versions. */
export type RolloutRecord =
  | ExposureBlockRecord
  | RolloutOrderRecord
  | RolloutVerdictRecord
  | StableVersionRecord;

/** What applying one of them did. */
export interface RolloutRecordOutcome {
  readonly kind: 'rollout';
  readonly order: RolloutOrderOutcome;
  readonly versions: ServiceVersions | undefined;
}

/** What the log knows of a roll-out besides what boxes are told. */
export interface RolloutProgress {
  readonly number: number;
  /** When the order was taken, Unix ms. */
  readonly orderedAt: number;
  /** Exposure taken out of the log so far; an upper bound of what was granted. */
  readonly granted: number;
  /** Requests of the service counted so far; a lower bound. */
  readonly counted: number;
  /** Time since the order as of the newest record, ms. */
  readonly elapsedMs: number;
  /** The verdict, if there is one. */
  readonly verdict: RolloutVerdictRecord | undefined;
}

interface ServiceEntry {
  readonly versions: ServiceVersions;
  readonly progress: RolloutProgress | undefined;
}

/** Its part of a snapshot. */
export interface RolloutImage {
  readonly revision: number;
  readonly services: readonly ServiceEntry[];
}

/** The image before the first record; also that of snapshots without any. */
export const NO_ROLLOUT_IMAGE: RolloutImage = {revision: 0, services: []};

/** States that may follow each; an outcome is final. */
const STATES_AFTER: Readonly<Record<RolloutState, readonly RolloutState[]>> = {
  [ROLLOUT_STATE.completed]: [],
  [ROLLOUT_STATE.exposing]: [ROLLOUT_STATE.rolledBack, ROLLOUT_STATE.shifting],
  [ROLLOUT_STATE.rolledBack]: [],
  [ROLLOUT_STATE.shifting]: [ROLLOUT_STATE.completed, ROLLOUT_STATE.rolledBack],
};

/** Whether a roll-out has no outcome yet. */
export function isUnderWay(
  rollout: Pick<Rollout, 'state'> | undefined,
): boolean {
  return rollout !== undefined && STATES_AFTER[rollout.state].length > 0;
}

/** See the module comment. */
export class RolloutRegister {
  private readonly held = new Map<string, ServiceEntry>();
  private revision = 0;
  private told: Rollouts | undefined;

  /** Told after every change that boxes have to hear of; asks which services are. */
  constructor(
    private readonly onChange: () => void,
    private readonly isService: (service: string) => boolean,
  ) {}

  /** All that boxes are told. */
  get rollouts(): Rollouts {
    this.told ??= {
      revision: this.revision,
      services: [...this.held.values()].map(({versions}) => versions),
    };
    return this.told;
  }

  /** The versions of one service. */
  versionsOf(service: string): ServiceVersions | undefined {
    return this.held.get(service)?.versions;
  }

  /** What is known besides of the newest order. */
  progressOf(service: string): RolloutProgress | undefined {
    return this.held.get(service)?.progress;
  }

  /** Applies a record. */
  apply(record: RolloutRecord): RolloutRecordOutcome {
    const order = this.change(record);
    const versions = this.versionsOf(record.service);
    return {kind: 'rollout', order, versions};
  }

  /** Its part of a snapshot. */
  image(): RolloutImage {
    return {revision: this.revision, services: [...this.held.values()]};
  }

  /** Takes over what a snapshot holds. */
  restore({revision, services}: RolloutImage): void {
    this.held.clear();
    for (const one of services) {
      this.held.set(one.versions.service, one);
    }
    this.revision = revision;
    this.told = undefined;
  }

  private change(record: RolloutRecord): RolloutOrderOutcome {
    switch (record.kind) {
      case 'exposure-block':
        this.takeBlock(record);
        return ROLLOUT_ORDER.accepted;
      case 'rollout-order':
        return this.takeOrder(record);
      case 'rollout-verdict':
        this.takeVerdict(record);
        return ROLLOUT_ORDER.accepted;
      case 'stable-version':
        this.takeStable(record);
        return ROLLOUT_ORDER.accepted;
    }
  }

  private takeStable({service, version}: StableVersionRecord): void {
    if (this.held.has(service)) {
      return;
    }
    const versions = {rollout: undefined, service, stableVersion: version};
    this.put({progress: undefined, versions});
  }

  private takeOrder(record: RolloutOrderRecord): RolloutOrderOutcome {
    const {knownNumber, service, targetVersion} = record;
    if (!this.isService(service)) {
      return ROLLOUT_ORDER.unknownService;
    }
    const newest = this.versionsOf(service)?.rollout;
    const isSame = newest?.targetVersion === targetVersion;
    const isCopy = newest !== undefined && newest.number > knownNumber;
    if (isSame && (isCopy || newest.state !== ROLLOUT_STATE.rolledBack)) {
      return ROLLOUT_ORDER.accepted;
    }
    if (isUnderWay(newest)) {
      return ROLLOUT_ORDER.conflict;
    }
    this.begin(record, (newest?.number ?? 0) + 1);
    return ROLLOUT_ORDER.accepted;
  }

  private begin(record: RolloutOrderRecord, number: number): void {
    const {durationMs, orderedAt, service, targetVersion} = record;
    const {stableVersion = record.stableVersion} =
      this.versionsOf(service) ?? {};
    // Where it serves already, there is nothing to do.
    const state =
      targetVersion === stableVersion
        ? ROLLOUT_STATE.completed
        : ROLLOUT_STATE.exposing;
    const rollout = {durationMs, number, state, targetVersion};
    this.put({
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

  private takeBlock(record: ExposureBlockRecord): void {
    const {counted, elapsedMs, granted, number, service} = record;
    const held = this.held.get(service);
    if (held?.progress?.number !== number) {
      return;
    }
    const {progress, versions} = held;
    this.held.set(service, {
      progress: {
        ...progress,
        counted: Math.max(progress.counted, counted),
        elapsedMs: Math.max(progress.elapsedMs, elapsedMs),
        granted: Math.max(progress.granted, granted),
      },
      versions,
    });
  }

  private takeVerdict(record: RolloutVerdictRecord): void {
    const {elapsedMs, number, service, state} = record;
    const held = this.held.get(service);
    const rollout = held?.versions.rollout;
    if (
      held?.progress === undefined ||
      rollout?.number !== number ||
      !STATES_AFTER[rollout.state].includes(state)
    ) {
      return;
    }
    const stableVersion =
      state === ROLLOUT_STATE.completed
        ? rollout.targetVersion
        : held.versions.stableVersion;
    this.put({
      progress: {
        ...held.progress,
        elapsedMs: Math.max(held.progress.elapsedMs, elapsedMs),
        verdict: record,
      },
      versions: {rollout: {...rollout, state}, service, stableVersion},
    });
  }

  private put(held: ServiceEntry): void {
    this.held.set(held.versions.service, held);
    this.revision += 1;
    this.told = undefined;
    this.onChange();
  }
}
