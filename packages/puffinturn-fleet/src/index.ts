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
} from './AllowanceLedger';
export {tallyKey} from './AnswerTotals';
export type {BoxChanges} from './Boxes';
export {BoxList, BoxTable} from './Boxes';
export type {
  CallerLimits,
  ColdStart,
  ConfigurationFailure,
  EngineProfile,
  FleetConfiguration,
  Repetition,
  Route,
  RouteTarget,
  Service,
  Team,
} from './Configuration';
export {checkConfiguration, REPETITION, routePlace} from './Configuration';
export type {ConfigurationChange} from './ConfigurationChange';
export {applyChange, changeBetween} from './ConfigurationChange';
export {ConfigurationHistory} from './ConfigurationHistory';
export type {
  ConfigurationOutcome,
  StoredConfiguration,
} from './ConfigurationRegister';
export type {EvacuationOutcome} from './EvacuationRegister';
export type {Evacuations} from './Evacuations';
export {NO_EVACUATIONS} from './Evacuations';
export type {FleetControlParts} from './FleetControl';
export {FleetControl} from './FleetControl';
export type {FleetRecord} from './FleetMachine';
export {FleetMachine} from './FleetMachine';
export type {
  AllowanceReply,
  AllowanceRequest,
  BorrowReply,
  BorrowRequest,
  BoxRecord,
  BoxRole,
  ChangeReply,
  CrashReply,
  CrashRequest,
  EvacuateReply,
  EvacuateRequest,
  Gift,
  GiveReply,
  GiveRequest,
  GreetReply,
  HandOver,
  LimitReport,
  LimitsRequest,
  LoanOutcome,
  ReadReply,
  StepAsideReply,
  WatchReply,
  WatchRequest,
} from './FleetMessages';
export {BOX_ROLE, FLEET_SERVICE, lifeOf, LOAN} from './FleetMessages';
export type {FleetWatchParts} from './FleetWatch';
export {FleetNews, FleetWatch} from './FleetWatch';
export {Regions, regionsInBoth} from './Regions';
export {linkOfReplicas} from './ReplicaLink';
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
  NO_ROLLOUTS,
  ROLLOUT_ORDER,
  ROLLOUT_STATE,
  TIME_RATIO_BOUNDS,
} from './Rollouts';
export {UNNAMED_VERSION} from './ServiceUpstreams';
export {UpstreamRefusals} from './UpstreamRefusals';
export type {UpstreamLife, UpstreamRecord, UpstreamState} from './Upstreams';
export {compareLives, UPSTREAM_STATE, UpstreamTable} from './Upstreams';
export type {WakeUpParts} from './WakeUp';
export {wakeUp} from './WakeUp';
