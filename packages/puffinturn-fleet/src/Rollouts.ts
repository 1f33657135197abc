/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Rollouts: the versions of each service that may receive requests. The log orders all
 * changes, so the state with the higher revision is newer.
 */

/** State of a rollout. */
export const ROLLOUT_STATE = {
  /** All requests go to the new version, and none are in flight at the previous one. */
  completed: 'completed',
  /** Canary phase: a limited number of requests go to the new version. */
  exposing: 'exposing',
  /** The new version receives no more requests. */
  rolledBack: 'rolled-back',
  /** New requests go to the new version; in-flight ones finish at the previous one. */
  shifting: 'shifting',
} as const;

/** One of ROLLOUT_STATE. */
export type RolloutState = (typeof ROLLOUT_STATE)[keyof typeof ROLLOUT_STATE];

/** An order to move a service to another version. */
export interface Rollout {
  /** Sequence number of the order within its service. */
  readonly number: number;
  readonly targetVersion: string;
  /** Time from the order until the rollout must be completed or rolled back, ms. */
  readonly durationMs: number;
  readonly state: RolloutState;
}

/** The versions of one service that may receive requests. */
export interface ServiceVersions {
  readonly service: string;
  /** Version that receives requests while no rollout is in progress. */
  readonly stableVersion: string;
  /** The newest order; undefined before the first one. */
  readonly rollout: Rollout | undefined;
}

/** The versions of all services at one revision. */
export interface Rollouts {
  /** Increases by 1 with each change; 0 before the first one. */
  readonly revision: number;
  readonly services: readonly ServiceVersions[];
}

/** The state before any version is known. */
export const EMPTY_ROLLOUTS: Rollouts = {revision: 0, services: []};

/** Limits on the requests that the whole fleet may send to a new version. */
export interface ExposureBound {
  /** Fraction of all requests to the service since the order. */
  readonly share: number;
  /** Additional requests beyond the share. */
  readonly extra: number;
  /**
   * Time limit from the 50th bad response of a version until it receives no more
   * requests, ms. Verdicts come well within it, so no timer uses it.
   */
  readonly rollbackMs: number;
}

/** Responses of one version on one route, as counted by one edge. */
export interface VersionTally {
  readonly route: string;
  readonly version: string;
  readonly answers: number;
  /** Failures caused by the upstream, including broken and lost responses. */
  readonly failures: number;
  /**
   * Histogram of the ratio of actual to expected time, with the buckets of
   * TIME_RATIO_BOUNDS.
   */
  readonly times: readonly number[];
}

/** Upper bounds of the buckets of VersionTally.times; the last bucket is unbounded. */
export const TIME_RATIO_BOUNDS = [0.5, 0.7, 1, 1.4, 2, 2.8, 4, 8] as const;

/** Counts of one edge incarnation in a rollout, cumulative since the order. */
export interface ExposureReport {
  readonly service: string;
  /** The number of the order. */
  readonly number: number;
  /** Requests sent to any version of the service. */
  readonly requests: number;
  /** Requests sent to the new version. */
  readonly exposed: number;
  /** Total requests that this incarnation may send to the new version. */
  readonly granted: number;
  /** In-flight requests at upstreams of the previous version. */
  readonly openAtFormer: number;
  /** Whether this edge sends no new requests to the previous version. */
  readonly shifted: boolean;
  readonly tallies: readonly VersionTally[];
}

/** Reports exposure to the leader, through any control box. */
export interface ExposureRequest {
  readonly box: string;
  /** Incarnation of the edge; its counts start at 0 after each restart. */
  readonly life: string;
  readonly reports: readonly ExposureReport[];
}

/** Total requests that an incarnation may send to the new version since the order. */
export interface ExposureGrant {
  readonly service: string;
  readonly number: number;
  readonly granted: number;
}

/** Reply to an ExposureRequest; if grants are undefined, the request may be retried. */
export interface ExposureReply {
  readonly grants: readonly ExposureGrant[] | undefined;
}

/** Asks the leader to start a rollout. */
export interface RolloutOrder {
  readonly service: string;
  readonly targetVersion: string;
  readonly durationMs: number;
}

/** An order as sent to the leader by the control box that received it. */
export interface RolloutOrderRequest extends RolloutOrder {
  /**
   * Number of the newest rollout of the service that this box knew when it received the order;
   * missing in requests of earlier software versions.
   */
  readonly latestKnown?: number | undefined;
}

/** Outcomes of an order. */
export const ROLLOUT_ORDER_OUTCOME = {
  /** A quorum has stored the order, or had already stored an identical one. */
  accepted: 'accepted',
  /** Another rollout of the service is in progress. */
  conflict: 'conflict',
  /** Rollouts are disabled on the leader. */
  disabled: 'disabled',
  /** Not decided, for example without a quorum. The order may still take effect. */
  unavailable: 'unavailable',
  /** The current configuration has no such service. */
  unknownService: 'unknown-service',
} as const;

/** One of ROLLOUT_ORDER_OUTCOME. */
export type RolloutOrderOutcome =
  (typeof ROLLOUT_ORDER_OUTCOME)[keyof typeof ROLLOUT_ORDER_OUTCOME];

/** Reply to a RolloutOrder. */
export interface RolloutOrderReply {
  readonly outcome: RolloutOrderOutcome;
  /** Target version of the rollout in progress, in case of a conflict. */
  readonly underWay?: string | undefined;
}

/** The versions of a service after a linearizable read; not valid unless `current`. */
export interface RolloutReadReply {
  readonly current: boolean;
  readonly versions: ServiceVersions | undefined;
}
