/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The command-line tool, for tests. */
export type {Comparison, Difference} from './Comparison';
export {compareAll, DIFFERENCE} from './Comparison';
export {EXIT} from './ExitCodes';
export {runTool} from './Tool';
