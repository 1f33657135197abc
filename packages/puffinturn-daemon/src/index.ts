/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Public API: a box as a process, and as a component for tests. */
export type {BoxBreakage, BoxParts, FleetTopology} from './Box';
export {Box} from './Box';
export type {StartFailure} from './Daemon';
export {Daemon, waitUntilReady} from './Daemon';
export {createLogger} from './Logging';
export type {FleetStatus, OperatorFailure} from './OperatorApi';
export {OperatorApi} from './OperatorApi';
