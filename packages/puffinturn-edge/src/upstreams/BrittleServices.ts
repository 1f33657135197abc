/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Services whose upstreams crash when they have to reject many requests for lack of room.
 * All upstreams of such a service say so in all responses, so a new one counts as brittle
 * before its first response.
 */
import type {DecisionLog} from 'puffinturn-decisions';
import type {Clock} from 'shared';

import {MIN_SERVER_ERROR_STATUS} from '../EdgeConstants';

/** What one response says. */
export interface BrittlenessNotice {
  readonly service: string;
  /** Header value: rejections a second that the upstream bears; undefined without it. */
  readonly headerValue: string | undefined;
  readonly status: number;
  /** When the request was sent, monotonic ms. */
  readonly sentAt: number;
}

/** The latest notice of a service. */
interface BrittleService {
  readonly headerValue: string;
  /** When it was received, monotonic ms. */
  readonly receivedAt: number;
}

/** Tracks which services are brittle, from the responses that this edge gets. */
export class BrittleServices {
  private readonly byName = new Map<string, BrittleService>();

  constructor(
    private readonly clock: Clock,
    private readonly log: DecisionLog,
  ) {}

  /** Whether the upstreams of a service must not be overfilled. */
  isBrittle(service: string): boolean {
    return this.byName.has(service);
  }

  /**
   * Records a response. Only a later response without the notice ends it: one to a request
   * that was sent before may be older than the notice.
   */
  record({headerValue, sentAt, service, status}: BrittlenessNotice): void {
    const known = this.byName.get(service);
    if (headerValue !== undefined) {
      const receivedAt = this.clock.now();
      this.byName.set(service, {headerValue, receivedAt});
    } else if (
      known !== undefined &&
      sentAt > known.receivedAt &&
      status < MIN_SERVER_ERROR_STATUS
    ) {
      this.byName.delete(service);
    } else {
      return;
    }
    if (headerValue !== known?.headerValue) {
      this.log.note({
        event: 'service-brittle',
        former: known?.headerValue,
        rejectionsPerS: headerValue,
        service,
      });
    }
  }
}
