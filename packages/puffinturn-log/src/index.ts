/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The Raft log that the control boxes of a region replicate. */
export type {DiskFailure, DiskFaults, DiskOperation} from './Disk';
export {Disk, FolderDisk, MemoryDisk} from './Disk';
export type {DiskChange} from './DurableLog';
export type {Role} from './Elections';
export {ROLE} from './Elections';
export type {ReplicaTiming} from './LogConstants';
export {DEFAULT_TIMING} from './LogConstants';
export type {LogLinkFailure} from './LogLink';
export {LogLink, StateMachine} from './LogLink';
export type {
  LogRequest,
  Members,
  ProposalFailure,
  ReplicaId,
} from './LogMessages';
export {boxOf, replicaIdOf} from './LogMessages';
export type {CorruptionFailure, StorageFailure} from './LogStorage';
export {LogStorage} from './LogStorage';
export {quorumOf, votersToBear} from './MemberChanges';
export type {Leadership, ReplicaBreakage, ReplicaParts} from './Replica';
export {Replica} from './Replica';
