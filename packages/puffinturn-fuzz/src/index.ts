/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** A stateful fuzzer that runs a whole fleet in one process, in virtual time. */
export {createCallerRequest} from './CallerRequests';
export type {FuzzOptions, FuzzReport} from './Fuzz';
export {BREAKAGES, fuzz} from './Fuzz';
export {
  BUDGET_NAME,
  INITIAL_CALL_PRICE,
  initialDeclarations,
} from './FuzzDeclarations';
export type {FleetOptions} from './FuzzFleet';
export {FuzzFleet} from './FuzzFleet';
export type {FuzzBreakage, RunReport} from './FuzzRun';
export {FuzzRun} from './FuzzRun';
export type {Step} from './Step';
