/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Small fake servers: model engines, plain services and the platform's member list. */
export type {CrowdScript, CrowdTarget} from './Crowd';
export {Crowd, encodeChunk} from './Crowd';
export type {CrowdOutcome, CrowdTrialParts} from './CrowdTrial';
export {readPeakMemoryMb, runCrowdTrial} from './CrowdTrial';
export type {EngineProfile} from './Engine';
export {DEFAULT_PROFILE, Engine} from './Engine';
export type {Faults} from './Faults';
export {noFaults} from './Faults';
export {PlainService} from './PlainService';
export type {ListedMember} from './PlatformStandIn';
export {PlatformStandIn} from './PlatformStandIn';
export {StandInServer} from './StandInServer';
