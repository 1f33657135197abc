/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * When upstreams that failed last are tried again while sound ones of another region
 * serve their load. Each try at a dark one holds a request up until its connection is
 * given up, and there can be dozens of them: one try at a time, and rarely. Once one
 * has answered, the others are tried as well.
 */
import type {Clock} from 'shared';

import {HOME_PROBE_EVERY_MS} from '../regions/RegionConstants';

/** See the module comment. */
export class HomeProbes {
  private nextAt = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** Whether one that failed last may be tried. */
  get allowed(): boolean {
    return this.clock.now() >= this.nextAt;
  }

  /** Notes that one is tried. */
  sent(): void {
    this.nextAt = this.clock.now() + HOME_PROBE_EVERY_MS;
  }

  /** Notes that it has answered. */
  answered(): void {
    this.nextAt = -Infinity;
  }
}
