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
import type {PermitClient, PermitQuery, SlotClient} from 'puffinturn-permits';
import {effectiveLimit, maxRequestsPerSecond} from 'puffinturn-permits';

import type {BrittleServices} from './BrittleServices';
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

  /** Gives back what was admitted: the request was not sent, or has ended. */
  cancel(_upstream: EdgeUpstream): void {}

  /** Records that an upstream had no room for a request. */
  recordRejected(_upstream: EdgeUpstream): void {}

  /** Records that a request has ended at an upstream. */
  endRequest(upstream: EdgeUpstream): void {
    upstream.inFlight -= 1;
    this.cancel(upstream);
  }
}

/**
 * Admits requests by permits, and by slots while a service is brittle. One edge grants
 * them on behalf of all.
 */
export class PermitAdmission extends UpstreamAdmission {
  constructor(
    private readonly permits: PermitClient,
    private readonly slots: SlotClient,
    private readonly brittleServices: BrittleServices,
  ) {
    super();
  }

  override waitMs(upstream: EdgeUpstream, context: AdmissionContext): number {
    const permitMs = isRateLimited(upstream, context)
      ? this.permits.waitMs(upstream.id, context.isLeastUrgent)
      : 0;
    const slotMs = this.isBrittle(upstream) ? this.slots.waitMs(upstream) : 0;
    return Math.max(permitMs, slotMs);
  }

  override admit(
    upstream: EdgeUpstream,
    context: AdmissionContext,
  ): boolean | Promise<boolean> {
    if (this.isBrittle(upstream)) {
      return this.admitToSlot(upstream, context);
    }
    return isRateLimited(upstream, context)
      ? this.permits.acquire(permitRequestFor(upstream, context))
      : true;
  }

  override cancel(upstream: EdgeUpstream): void {
    this.slots.release(upstream);
  }

  override recordRejected(upstream: EdgeUpstream): void {
    if (this.isBrittle(upstream)) {
      this.slots.recordRejected(upstream);
    }
  }

  override shareLimit(upstream: EdgeUpstream): void {
    const context = {coldStart: undefined, isLeastUrgent: false};
    void this.permits.reportLimit(permitRequestFor(upstream, context));
  }

  private isBrittle({record}: EdgeUpstream): boolean {
    return this.brittleServices.isBrittle(record.service);
  }

  private async admitToSlot(
    upstream: EdgeUpstream,
    context: AdmissionContext,
  ): Promise<boolean> {
    const hasSlot = await this.slots.acquire(upstream, context.isLeastUrgent);
    if (!hasSlot || !isRateLimited(upstream, context)) {
      return hasSlot;
    }
    const query = permitRequestFor(upstream, context);
    const hasPermit = await this.permits.acquire(query);
    if (!hasPermit) {
      this.slots.release(upstream);
    }
    return hasPermit;
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
