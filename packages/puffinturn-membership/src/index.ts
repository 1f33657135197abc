/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Which boxes take part, and the configuration that they share. */
export type {BoxMemberParts, CrashTelling} from './BoxMember';
export {BoxMember} from './BoxMember';
export type {Target, Team} from './FleetConfig';
export {FleetConfig} from './FleetConfig';
export type {HeartbeatMonitorParts} from './HeartbeatMonitor';
export {HeartbeatMonitor} from './HeartbeatMonitor';
export type {
  BoxNews,
  CrashNews,
  HeartbeatReply,
  UpstreamCount,
} from './MemberMessages';
export {CONFIG_LEASE_MS, HEARTBEAT_MS} from './MembershipConstants';
export {OpenAdmissions} from './OpenAdmissions';
export {Suspicion} from './Suspicion';
