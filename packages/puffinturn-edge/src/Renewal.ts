/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * After a suspension of the machine nothing that an edge knows is as fresh as it seems:
 * connections may have ended unheard, and changes were made meanwhile. Requests wait
 * until the core has told what is new, for a short time.
 */
import type {FleetWatch, WakeUpParts} from 'puffinturn-fleet';
import {wakeUp} from 'puffinturn-fleet';
import type {Clock} from 'shared';
import {SuspensionWatch} from 'shared';

import type {UpstreamPool} from './upstreams/UpstreamPool';

/**
 * Longest time that requests wait, ms: a few round trips. A core that has not told by
 * then can't be reached, and the edge serves from what it holds, as in any cut.
 */
const RENEWAL_MS = 500;

/** How often to look whether it has told, ms. */
const RENEWAL_LOOK_MS = 10;

/** What a Renewal is made of. */
export interface RenewalParts extends WakeUpParts {
  readonly clock: Clock;
  readonly pool: UpstreamPool;
  readonly watch: FleetWatch;
  /** Told of each wake-up before anything is asked. */
  readonly woke: () => void;
}

/** See the module comment. */
export class Renewal implements AsyncDisposable {
  private readonly suspension: SuspensionWatch;
  private running: Promise<void> | undefined;

  constructor(private readonly parts: RenewalParts) {
    this.suspension = new SuspensionWatch(parts.clock, (ms) => this.begin(ms));
  }

  /** Ends once what is known may be relied on; undefined where it may be now. */
  get pending(): Promise<void> | undefined {
    this.suspension.look();
    return this.running;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.suspension[Symbol.asyncDispose]();
  }

  private begin(missedMs: number): void {
    const {pool, watch, woke} = this.parts;
    woke();
    watch.distrust();
    wakeUp(this.parts, missedMs);
    pool.dropIdle();
    this.running ??= this.renew().finally(() => (this.running = undefined));
  }

  private async renew(): Promise<void> {
    const {clock, watch} = this.parts;
    const until = clock.now() + RENEWAL_MS;
    while (!watch.current && clock.now() < until) {
      await clock.sleep(RENEWAL_LOOK_MS);
    }
  }
}
