/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Public API of the command-line tool, for tests. */
export {runCli} from './Cli';
export type {Comparison, Difference} from './Comparison';
export {compareDeclarations, DIFFERENCE} from './Comparison';
export {EXIT} from './ExitCodes';
