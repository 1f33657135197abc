/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Utilities shared by all packages. */
export {ChunkCollector, collectChunks, concatChunks} from './ChunkCollector';
export {
  Clock,
  ManualClock,
  ScaledClock,
  settleTasks,
  SystemClock,
} from './Clock';
export {parseDecimal} from './Decimal';
export {digestBytes, digestValue} from './Digest';
export type {Failure} from './Failure';
export {describeError} from './Failure';
export {hash32} from './Hash';
export {invariant, InvariantError} from './Invariant';
export type {BodyFailure} from './JsonBody';
export {readJsonBody} from './JsonBody';
export type {MachineTime} from './MachineClock';
export {
  elapsedBetween,
  MachineClock,
  ManualMachineClock,
  SystemMachineClock,
} from './MachineClock';
export {Random, selectByWeight} from './Random';
export type {ReadCost, ReadLoad, ReadSource} from './ReadScheduler';
export {
  MAX_PIECES_PER_ITERATION,
  ReadScheduler,
  readScheduler,
} from './ReadScheduler';
export {rankByRendezvous, rendezvousWeight} from './Rendezvous';
export {
  hasOnlyFieldCharacters,
  isField,
  isFinalStatus,
  isKnownTransferCoding,
  isReasonPhrase,
} from './ResponseSyntax';
export {unavailableRetryAfterMs} from './RetryAfter';
export {SuspensionDetector} from './SuspensionDetector';
export {
  Condition,
  DisposableList,
  Mutex,
  resolveWithin,
  sleepUnlessNotified,
  TaskGroup,
  waitWhile,
} from './Task';
export type {JsonFailure, Utf8Failure} from './Utf8';
export {decodeUtf8, parseUtf8Json} from './Utf8';
