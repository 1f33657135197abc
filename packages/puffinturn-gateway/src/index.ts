/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Serves requests of callers: admission, upstream calls, retries and responses. */
export type {ResponseEnd, ResponseHead} from './BufferedResponse';
export {BufferedResponse} from './BufferedResponse';
export type {CallerHttpParts} from './CallerHttp';
export {createCallerApp} from './CallerHttp';
export type {CompletionBody} from './CompletionBody';
export {validateCompletion} from './CompletionBody';
export type {CallerResponse, GatewayParts} from './Gateway';
export {Gateway} from './Gateway';
export {CALLER_TIMEOUT_MS} from './GatewayConstants';
export type {FailureCode, GatewayFailure, Outcome} from './GatewayFailure';
export {FAILURE, OUTCOME} from './GatewayFailure';
export {GatewayMetrics} from './GatewayMetrics';
export {HttpUpstreamClient} from './HttpUpstreamClient';
export {PoolRegistry} from './PoolRegistry';
export type {CallerRequest} from './RequestPlan';
export type {RequestQuarantineParts} from './RequestQuarantine';
export {RequestQuarantine} from './RequestQuarantine';
export type {
  UpstreamFailure,
  UpstreamRequest,
  UpstreamResponse,
} from './UpstreamClient';
export {UpstreamClient} from './UpstreamClient';
export type {UpstreamPermitsParts} from './UpstreamPermits';
export {UpstreamPermits} from './UpstreamPermits';
