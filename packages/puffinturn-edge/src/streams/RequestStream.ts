/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The stream of one request: at which version it may go on. */
import type {DecisionLog} from 'puffinturn-decisions';
import {RETRY_POLICY} from 'puffinturn-fleet';

import type {CallerRequest} from '../callers/CallerRequest';
import type {RequestPlan} from '../requests/RequestPlan';
import type {RouteTable} from '../requests/RouteTable';
import type {EdgeUpstream} from '../upstreams/EdgeUpstream';
import type {StreamVersions} from './StreamVersions';
import {isResumption} from './StreamVersions';

/** Dependencies of RequestStream. */
export interface RequestStreamParts {
  readonly log: DecisionLog;
  readonly streamVersions: StreamVersions;
}

/** Follows the stream of a request over its attempts. */
export class RequestStream {
  private boundVersion: string | undefined;

  constructor(
    private readonly parts: RequestStreamParts,
    private readonly caller: CallerRequest,
    private readonly table: RouteTable,
  ) {}

  /** The only version that may continue the stream; undefined before its first event. */
  get version(): string | undefined {
    return this.boundVersion;
  }

  /**
   * Binds the request to the stream that its caller resumes, if it does. Returns the plan
   * with the service that began the stream, or undefined if that is not known.
   */
  async resume(plan: RequestPlan): Promise<RequestPlan | undefined> {
    const {caller, parts, table} = this;
    if (!isResumption(caller, plan.route)) {
      return plan;
    }
    const resumption = await parts.streamVersions.resolve(caller, plan, table);
    const service = resumption && table.findService(resumption.service);
    if (service === undefined) {
      return undefined;
    }
    this.boundVersion = resumption?.version;
    return {...plan, service};
  }

  /** Binds the stream to the version that brought its first event. */
  bind({version}: EdgeUpstream): void {
    this.boundVersion ??= version;
  }

  /**
   * Records the version of an attempt, and logs it if the stream is resumed.
   * `lastEventId` is that of the last event relayed in this response.
   */
  recordAttempt(
    plan: RequestPlan,
    upstream: EdgeUpstream,
    attempt: number,
    lastEventId: string | undefined,
  ): void {
    const {caller, parts, table} = this;
    if (plan.route.repetition !== RETRY_POLICY.resumable) {
      return;
    }
    parts.streamVersions.recordAttempt(caller, plan, upstream, attempt);
    if (this.boundVersion === undefined) {
      return;
    }
    const isByEdge = lastEventId !== undefined;
    parts.log.note({
      by: isByEdge ? 'edge' : 'caller',
      configuration: table.version,
      event: 'stream-resumed',
      lastEventId: lastEventId ?? caller.lastEventId,
      request: caller.id,
      stream: caller.resumedRequest ?? (isByEdge ? caller.id : undefined),
      upstream: upstream.id,
      version: upstream.version,
    });
  }
}
