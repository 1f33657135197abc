/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Admission of requests to upstreams whose request rate is limited across all edges.
 */
import type {ColdStart} from 'puffinturn-fleet';
import type {PermitClient, PermitQuery} from 'puffinturn-permits';
import {effectiveLimit, maxRequestsPerSecond} from 'puffinturn-permits';

import type {EdgeUpstream} from './EdgeUpstream';

/** Properties of a request that its admission depends on. */
export interface AdmissionContext {
  /** Limits for cold upstreams of the service; undefined if none are configured. */
  readonly coldStart: ColdStart | undefined;
  readonly isLeastUrgent: boolean;
}

/**
 * Decides whether this edge may send a request to an upstream that is cold or states a
 * rate limit. Both limits apply to all edges together.
 */
export abstract class UpstreamAdmission {
  /** Time until a request may be admitted, ms; 0 if it may be tried now. */
  abstract waitMs(upstream: EdgeUpstream, context: AdmissionContext): number;

  /** Admits one request or denies it; an admitted request uses up capacity. */
  abstract admit(
    upstream: EdgeUpstream,
    context: AdmissionContext,
  ): boolean | Promise<boolean>;

  /** Shares the rate limit of an upstream with other edges. */
  abstract shareLimit(upstream: EdgeUpstream): void;
}

/** Admits requests by permits, which one edge grants on behalf of all. */
export class PermitAdmission extends UpstreamAdmission {
  constructor(private readonly permits: PermitClient) {
    super();
  }

  override waitMs(upstream: EdgeUpstream, context: AdmissionContext): number {
    return isRateLimited(upstream, context)
      ? this.permits.waitMs(upstream.id, context.isLeastUrgent)
      : 0;
  }

  override admit(
    upstream: EdgeUpstream,
    context: AdmissionContext,
  ): boolean | Promise<boolean> {
    return isRateLimited(upstream, context)
      ? this.permits.acquire(permitRequestFor(upstream, context))
      : true;
  }

  override shareLimit(upstream: EdgeUpstream): void {
    const context = {coldStart: undefined, isLeastUrgent: false};
    void this.permits.reportLimit(permitRequestFor(upstream, context));
  }
}

/** Whether the request rate of an upstream is limited at present. */
function isRateLimited(
  upstream: EdgeUpstream,
  {coldStart}: AdmissionContext,
): boolean {
  return (
    maxRequestsPerSecond(upstream.limits.limit) < Infinity ||
    (coldStart !== undefined && upstream.isCold)
  );
}

/** Maximum requests per second of an upstream at present; Infinity if unlimited. */
export function maxRequestRate(
  {isCold, limits}: EdgeUpstream,
  {coldStart}: Pick<AdmissionContext, 'coldStart'>,
): number {
  return effectiveLimit(
    limits.limit,
    isCold ? coldStart?.requestsPerSecond : undefined,
  );
}

function permitRequestFor(
  {isCold, id, limits, record}: EdgeUpstream,
  {coldStart, isLeastUrgent}: AdmissionContext,
): PermitQuery {
  return {
    coldPerSecond: isCold ? coldStart?.requestsPerSecond : undefined,
    isLeastUrgent,
    limit: limits.limit,
    upstream: {hall: record.hall, id},
  };
}
