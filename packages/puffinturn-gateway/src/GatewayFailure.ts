/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Failures of requests, with their HTTP statuses and error codes. */
import type {Failure} from 'shared';

/** Whether a request was run. */
export const OUTCOME = {
  /** Did not run on any upstream. */
  notRun: 'not-run',
  ran: 'ran',
  /** May have run. */
  unknown: 'unknown',
} as const;

/** One of OUTCOME. */
export type Outcome = (typeof OUTCOME)[keyof typeof OUTCOME];

interface FailureDefinition {
  readonly status: number;
  readonly outcome: Outcome;
}

/** Stable error codes, documented in docs/operators/callers.md. */
export const FAILURE = {
  answer_gone: {outcome: OUTCOME.ran, status: 410},
  bad_request: {outcome: OUTCOME.notRun, status: 400},
  body_stalled: {outcome: OUTCOME.notRun, status: 408},
  body_too_large: {outcome: OUTCOME.notRun, status: 413},
  budget_exhausted: {outcome: OUTCOME.notRun, status: 402},
  caller_gone: {outcome: OUTCOME.notRun, status: 499},
  context_too_long: {outcome: OUTCOME.notRun, status: 400},
  control_unavailable: {outcome: OUTCOME.notRun, status: 503},
  invalid_key: {outcome: OUTCOME.notRun, status: 401},
  key_conflict: {outcome: OUTCOME.notRun, status: 409},
  key_required: {outcome: OUTCOME.notRun, status: 400},
  not_found: {outcome: OUTCOME.notRun, status: 404},
  not_ready: {outcome: OUTCOME.notRun, status: 503},
  outcome_unknown: {outcome: OUTCOME.unknown, status: 504},
  overloaded: {outcome: OUTCOME.notRun, status: 503},
  policy_failed: {outcome: OUTCOME.notRun, status: 403},
  policy_refused: {outcome: OUTCOME.notRun, status: 403},
  quarantined: {outcome: OUTCOME.notRun, status: 400},
  region_unreachable: {outcome: OUTCOME.notRun, status: 503},
  still_running: {outcome: OUTCOME.unknown, status: 504},
  stopping: {outcome: OUTCOME.notRun, status: 503},
  upstream_broke_off: {outcome: OUTCOME.ran, status: 502},
  upstream_failed: {outcome: OUTCOME.notRun, status: 502},
} as const satisfies Record<string, FailureDefinition>;

/** A code of FAILURE. */
export type FailureCode = keyof typeof FAILURE;

/** The failure of one request. */
export interface GatewayFailure extends Failure<FailureCode> {
  readonly outcome: Outcome;
  readonly status: number;
  /** Suggested delay before a retry, ms; undefined if there is none. */
  readonly retryAfterMs?: number | undefined;
}

/** Creates a failure with the status and outcome of its code. */
export function createFailure(
  kind: FailureCode,
  message: string,
  retryAfterMs?: number,
): GatewayFailure {
  return {...FAILURE[kind], kind, message, retryAfterMs};
}

const ERROR_TYPE_BY_STATUS: Readonly<Record<number, string>> = {
  400: 'invalid_request_error',
  401: 'authentication_error',
  402: 'insufficient_quota',
  403: 'permission_error',
  404: 'not_found_error',
  409: 'conflict_error',
};

/** Formats an error body that OpenAI clients can parse. */
export function formatErrorBody(failure: GatewayFailure): string {
  const {kind, message, outcome, status} = failure;
  const type = ERROR_TYPE_BY_STATUS[status] ?? 'server_error';
  return JSON.stringify({
    error: {code: kind, message, outcome, param: null, type},
  });
}
