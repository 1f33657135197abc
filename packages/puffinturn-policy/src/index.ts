/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Policies: who may spend what, which go first, which never repeat. */
export type {PolicyRequest} from './PolicyRequest';
export type {PolicyDecision, PolicyFailure} from './PolicySet';
export {checkPolicy, PolicySet} from './PolicySet';
