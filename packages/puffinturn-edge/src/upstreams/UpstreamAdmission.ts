/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Whether this edge may send one more request to an upstream that bears only so many a
 * second from all edges together: a cold one, or one that names a limit.
 */
import type {ColdStart} from 'puffinturn-fleet';
import type {PermitQuestion, Permits} from 'puffinturn-permits';
import {boundOf, rateOf} from 'puffinturn-permits';

import type {EdgeUpstream} from './EdgeUpstream';

/** What an admission depends on besides the upstream. */
export interface AdmissionFacts {
  /** What cold upstreams of the service bear; undefined where nothing is declared. */
  readonly coldStart: ColdStart | undefined;
  readonly isLeastUrgent: boolean;
}

/** See the module comment. */
export abstract class UpstreamAdmission {
  /** How long until a request may be let go there, ms; 0 where one may be tried now. */
  abstract waitMs(upstream: EdgeUpstream, facts: AdmissionFacts): number;

  /** Whether one request may go there at once; each one counts. */
  abstract admit(
    upstream: EdgeUpstream,
    facts: AdmissionFacts,
  ): boolean | Promise<boolean>;

  /** Tells other edges what an upstream has said of its limit. */
  abstract tell(upstream: EdgeUpstream): void;
}

/** Each request needs a permit, which one edge grants for all of them. */
export class PermitAdmission extends UpstreamAdmission {
  constructor(private readonly permits: Permits) {
    super();
  }

  override waitMs(upstream: EdgeUpstream, facts: AdmissionFacts): number {
    return isBounded(upstream, facts)
      ? this.permits.waitMs(upstream.id, facts.isLeastUrgent)
      : 0;
  }

  override admit(
    upstream: EdgeUpstream,
    facts: AdmissionFacts,
  ): boolean | Promise<boolean> {
    return isBounded(upstream, facts)
      ? this.permits.take(questionFor(upstream, facts))
      : true;
  }

  override tell(upstream: EdgeUpstream): void {
    const facts = {coldStart: undefined, isLeastUrgent: false};
    void this.permits.tell(questionFor(upstream, facts));
  }
}

/** Whether an upstream bears only so many requests a second; asked at each choice. */
function isBounded(
  upstream: EdgeUpstream,
  {coldStart}: AdmissionFacts,
): boolean {
  return (
    rateOf(upstream.limits.limit) < Infinity ||
    (coldStart !== undefined && upstream.cold)
  );
}

/** Requests a second that an upstream bears now; Infinity where nothing bounds them. */
export function rateOfUpstream(
  {cold, limits}: EdgeUpstream,
  {coldStart}: Pick<AdmissionFacts, 'coldStart'>,
): number {
  return boundOf(limits.limit, cold ? coldStart?.requestsPerSecond : undefined);
}

function questionFor(
  {cold, id, limits, record}: EdgeUpstream,
  {coldStart, isLeastUrgent}: AdmissionFacts,
): PermitQuestion {
  return {
    coldPerSecond: cold ? coldStart?.requestsPerSecond : undefined,
    isLeastUrgent,
    limit: limits.limit,
    upstream: {hall: record.hall, id},
  };
}
