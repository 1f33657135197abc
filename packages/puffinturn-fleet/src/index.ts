/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Configuration, upstreams and allowances of a fleet, and how they spread. */
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
export {checkConfiguration, REPETITION} from './Configuration';
export type {ConfigurationChange} from './ConfigurationChange';
export {applyChange, changeBetween} from './ConfigurationChange';
export {ConfigurationHistory} from './ConfigurationHistory';
export type {Evacuations} from './Evacuations';
export {NO_EVACUATIONS} from './Evacuations';
export type {FleetControlParts} from './FleetControl';
export {FleetControl} from './FleetControl';
export type {
  AllowanceAsk,
  AllowanceGrant,
  AllowanceOutcome,
  ConfigurationOutcome,
  EvacuationOutcome,
  FleetRecord,
  StoredConfiguration,
} from './FleetMachine';
export {FleetMachine} from './FleetMachine';
export type {
  AllowanceReply,
  AllowanceRequest,
  BorrowReply,
  BorrowRequest,
  BoxRecord,
  BoxRole,
  ChangeReply,
  EvacuateReply,
  EvacuateRequest,
  Gift,
  GiveReply,
  GiveRequest,
  GreetReply,
  HandOver,
  LoanOutcome,
  ReadReply,
  StepAsideReply,
  WatchReply,
  WatchRequest,
} from './FleetMessages';
export {BOX_ROLE, FLEET_SERVICE, lifeOf, LOAN} from './FleetMessages';
export type {FleetWatchParts} from './FleetWatch';
export {FleetNews, FleetWatch} from './FleetWatch';
export {linkOfReplicas} from './ReplicaLink';
export type {UpstreamRecord, UpstreamState} from './Upstreams';
export {UPSTREAM_STATE, UpstreamTable} from './Upstreams';
