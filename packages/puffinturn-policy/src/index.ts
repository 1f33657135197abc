/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Policies: rules that allow or refuse requests and set their budget, pool and priority. */
export type {PolicyRequest} from './PolicyRequest';
export type {PolicyDecision, PolicyFailure} from './PolicySet';
export {checkPolicy, PolicySet} from './PolicySet';
