/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Rate limit of the probes of failing upstreams while another region serves their
 * load.
 */
import type {Clock} from 'shared';

import {LOCAL_PROBE_INTERVAL_MS} from '../regions/RegionConstants';

/**
 * Allows one probe of a failing upstream per interval, because a probe delays its request
 * until the connection times out. A successful probe allows the next one at once.
 */
export class RecoveryProbes {
  private nextProbeAt = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** Whether a failing upstream may be probed now. */
  get isAllowed(): boolean {
    return this.clock.now() >= this.nextProbeAt;
  }

  /** Records that a probe was sent. */
  recordProbe(): void {
    this.nextProbeAt = this.clock.now() + LOCAL_PROBE_INTERVAL_MS;
  }

  /** Records that a probe succeeded. */
  recordSuccess(): void {
    this.nextProbeAt = -Infinity;
  }
}
