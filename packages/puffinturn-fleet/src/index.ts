/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Configuration, upstreams and token allowances of a fleet, and their propagation. */
export type {
  AllowanceAsk,
  AllowanceGrant,
  AllowanceOutcome,
  AllowanceRequest,
} from './AllowanceLedger';
export {createTallyKey} from './AnswerTotals';
export type {BoxChanges} from './BoxList';
export {BoxList, BoxTable} from './BoxList';
export type {
  CallerLimits,
  ColdStart,
  ConfigurationFailure,
  EngineProfile,
  FleetConfiguration,
  RetryPolicy,
  Route,
  RouteTarget,
  Service,
  Team,
} from './Configuration';
export {checkConfiguration, RETRY_POLICY, routeKey} from './Configuration';
export type {ConfigurationChange} from './ConfigurationChange';
export {applyChange, diffConfigurations} from './ConfigurationChange';
export {digestOf} from './ConfigurationDigest';
export {ConfigurationHistory} from './ConfigurationHistory';
export type {
  ConfigurationOutcome,
  StoredConfiguration,
} from './ConfigurationRegistry';
export type {EvacuationOutcome} from './EvacuationRegistry';
export type {Evacuations} from './Evacuations';
export {NO_EVACUATIONS} from './Evacuations';
export type {FleetControlParts} from './FleetControl';
export {FleetControl} from './FleetControl';
export type {FleetRecord} from './FleetMachine';
export {FleetMachine} from './FleetMachine';
export type {
  AllowanceReply,
  BorrowReply,
  BorrowRequest,
  BoxRecord,
  BoxRole,
  ConfigurationChangeReply,
  ConfigurationReadReply,
  CrashReportReply,
  CrashReportRequest,
  EdgeState,
  EvacuateReply,
  EvacuateRequest,
  Gift,
  GiveReply,
  GiveRequest,
  LimitReport,
  LimitReportsRequest,
  LoanOutcome,
  PackedEdgeState,
  StateNeededReply,
  TunnelAddress,
  TunnelReply,
  TunnelRequest,
  WatchReply,
  WatchRequest,
  WithdrawalReply,
} from './FleetMessages';
export {
  BOX_ROLE,
  FLEET_SERVICE,
  incarnationIdOf,
  LOAN_OUTCOME,
  TUNNEL_OUTCOME,
} from './FleetMessages';
export type {ConfigurationOrigin} from './FleetUpdateHandler';
export {FleetUpdateHandler} from './FleetUpdateHandler';
export type {FleetWatchParts} from './FleetWatch';
export {FleetWatch} from './FleetWatch';
export {packUpdate, unpackUpdate} from './PackedUpdate';
export type {ReleaseOutcome} from './QuarantineControl';
export {RELEASE_OUTCOME} from './QuarantineControl';
export {intersectRegions, Regions} from './Regions';
export {createReplicaLink} from './ReplicaLink';
export type {
  ExposureBound,
  ExposureGrant,
  ExposureReply,
  ExposureReport,
  ExposureRequest,
  Rollout,
  RolloutOrder,
  RolloutOrderOutcome,
  RolloutOrderReply,
  RolloutReadReply,
  Rollouts,
  RolloutState,
  ServiceVersions,
  VersionTally,
} from './Rollouts';
export {
  EMPTY_ROLLOUTS,
  ROLLOUT_ORDER_OUTCOME,
  ROLLOUT_STATE,
  TIME_RATIO_BOUNDS,
} from './Rollouts';
export {UNKNOWN_VERSION, upstreamVersion} from './ServiceUpstreams';
export type {SpendingLimit} from './SpendingLimit';
export {maxTaken} from './SpendingLimit';
export {roundAge, StateFreshness} from './StateFreshness';
export {DEFAULT_STREAM_LIFETIME_MS, streamLifetimeMs} from './StreamLifetime';
export type {SuspensionRecoveryParts} from './SuspensionRecovery';
export {recoverFromSuspension} from './SuspensionRecovery';
export {UpstreamRefusals} from './UpstreamRefusals';
export type {
  UpstreamIncarnation,
  UpstreamRecord,
  UpstreamState,
} from './UpstreamTable';
export {
  compareIncarnations,
  UPSTREAM_STATE,
  UpstreamTable,
} from './UpstreamTable';
export {VERSION_HOLD_MS, VERSION_LEASE_MS, VersionAges} from './VersionLease';
export type {RegisteredVersion, RegisteredVersions} from './VersionRegistry';
export {VersionRegistry} from './VersionRegistry';
export {DEFAULT_APPLY_BOUND_MS, WatchTiming} from './WatchTiming';
