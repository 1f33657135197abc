/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Roll-outs: which versions of a service's software may get requests. The log
 * holds the order of all changes, so the state with the higher revision is the
 * newer wherever it comes from.
 */

/** How far a roll-out is. */
export const ROLLOUT_STATE = {
  /** All requests go to the new version, and the former one has none left. */
  completed: 'completed',
  /** A bounded part of the requests tries the new version. */
  exposing: 'exposing',
  /** The new version gets no more requests. */
  rolledBack: 'rolled-back',
  /** Judged good: new requests go to the new version, open ones end at the former. */
  shifting: 'shifting',
} as const;

/** One of ROLLOUT_STATE. */
export type RolloutState = (typeof ROLLOUT_STATE)[keyof typeof ROLLOUT_STATE];

/** One order to move a service to another version. */
export interface Rollout {
  /** Tells the orders for one service apart; grows with each. */
  readonly number: number;
  readonly targetVersion: string;
  /** Time from the order within which it should be completed or rolled back, ms. */
  readonly durationMs: number;
  readonly state: RolloutState;
}

/** The versions of one service that may get requests. */
export interface ServiceVersions {
  readonly service: string;
  /** The version that serves without any order. */
  readonly stableVersion: string;
  /** The newest order; undefined before the first one. */
  readonly rollout: Rollout | undefined;
}

/** The versions of all services, as of one revision. */
export interface Rollouts {
  /** Grows by 1 with each change; 0 before the first one. */
  readonly revision: number;
  readonly services: readonly ServiceVersions[];
}

/** No version of any service is known. */
export const NO_ROLLOUTS: Rollouts = {revision: 0, services: []};

/** What all boxes together may risk on a new version. */
export interface ExposureBound {
  /** The part of all requests for the service since the order. */
  readonly share: number;
  /** Requests beyond that. */
  readonly extra: number;
  /**
   * Time from its 50th bad answer on until it must get no more requests, ms. Verdicts
   * come within a fraction of it, so nothing waits for it.
   */
  readonly rollbackMs: number;
}

/** Answers of one version to the requests of one route, at one edge. */
export interface VersionTally {
  readonly route: string;
  readonly version: string;
  readonly answers: number;
  /** Errors of the upstream's own, broken and lost answers among them. */
  readonly failures: number;
  /**
   * Answers by the time that they took over the time expected for what they need,
   * in the buckets of TIME_RATIO_BOUNDS.
   */
  readonly times: readonly number[];
}

/** Upper bounds of the buckets of VersionTally.times; the last one has none. */
export const TIME_RATIO_BOUNDS = [0.5, 0.7, 1, 1.4, 2, 2.8, 4, 8] as const;

/** What one life of an edge has done in a roll-out; counts since the order. */
export interface ExposureReport {
  readonly service: string;
  /** The number of the order. */
  readonly number: number;
  /** Requests sent to the service, whichever the version. */
  readonly requests: number;
  /** Of these, requests sent to the new version. */
  readonly exposed: number;
  /** Requests that this life was allowed to send to the new version so far. */
  readonly granted: number;
  /** Requests still open at upstreams of the former version. */
  readonly openAtFormer: number;
  /** Whether this edge sends no new requests to the former version. */
  readonly shifted: boolean;
  readonly tallies: readonly VersionTally[];
}

/** Tells the leader of exposure, through any control box. */
export interface ExposureRequest {
  readonly box: string;
  /** One life of the edge; its counts start anew with each. */
  readonly life: string;
  readonly reports: readonly ExposureReport[];
}

/** How many requests a life may send to the new version, in all since the order. */
export interface ExposureGrant {
  readonly service: string;
  readonly number: number;
  readonly granted: number;
}

/** Outcome of an exchange; undefined grants mean that it may be sent again. */
export interface ExposureReply {
  readonly grants: readonly ExposureGrant[] | undefined;
}

/** Asks the leader to begin a roll-out. */
export interface RolloutOrder {
  readonly service: string;
  readonly targetVersion: string;
  readonly durationMs: number;
}

/** What became of an order. */
export const ROLLOUT_ORDER = {
  /** A quorum holds it, as it did before where the same order came again. */
  accepted: 'accepted',
  /** Another roll-out of the service is under way. */
  conflict: 'conflict',
  /** Roll-outs are not switched on at the box that decides. */
  disabled: 'disabled',
  /** Without a quorum: nothing was changed, or the change may still come. */
  unavailable: 'unavailable',
  /** The configuration in force names no such service. */
  unknownService: 'unknown-service',
} as const;

/** One of ROLLOUT_ORDER. */
export type RolloutOrderOutcome =
  (typeof ROLLOUT_ORDER)[keyof typeof ROLLOUT_ORDER];

/** Outcome of an order. */
export interface RolloutOrderReply {
  readonly outcome: RolloutOrderOutcome;
  /** The target of the roll-out that is under way, where that is the conflict. */
  readonly underWay?: string | undefined;
}

/** The versions of a service, as one barrier of the log found them. */
export interface RolloutReadReply {
  readonly current: boolean;
  readonly versions: ServiceVersions | undefined;
}
