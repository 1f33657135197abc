/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Cluster membership: heartbeats, failure detection and the shared configuration. */
export type {BoxMemberParts, PendingCrashUpdate} from './BoxMember';
export {BoxMember} from './BoxMember';
export {FailureDetector} from './FailureDetector';
export type {RequestTarget, Team} from './FleetConfig';
export {FleetConfig} from './FleetConfig';
export type {HeartbeatMonitorParts} from './HeartbeatMonitor';
export {HeartbeatMonitor} from './HeartbeatMonitor';
export type {
  BoxStatus,
  CrashUpdate,
  HeartbeatReply,
  InFlightCount,
} from './MemberMessages';
export {CONFIG_LEASE_MS, HEARTBEAT_INTERVAL_MS} from './MembershipConstants';
export {OpenAdmissions} from './OpenAdmissions';
