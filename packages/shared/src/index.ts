/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Utilities shared by all packages. */
export {
  Clock,
  ManualClock,
  ScaledClock,
  settleTasks,
  SystemClock,
} from './Clock';
export {decimalOf} from './Decimal';
export {digestBytes, digestValue} from './Digest';
export type {Failure} from './Failure';
export {describeError} from './Failure';
export {hashOf} from './Hash';
export {invariant, InvariantError} from './Invariant';
export {drawByWeight, Random} from './Random';
export {rendezvousWeight} from './Rendezvous';
export {restMsOf} from './RetryAfter';
export {SuspensionWatch} from './SuspensionWatch';
export {
  Condition,
  DisposableList,
  Mutex,
  sleepUnlessNotified,
  TaskGroup,
} from './Task';
