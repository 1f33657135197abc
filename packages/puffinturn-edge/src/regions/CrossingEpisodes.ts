/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Notes when requests of a service begin to go to another region, and when that has
 * ended: two lines for each time, however many requests go over.
 */
import type {DecisionLog} from 'puffinturn-decisions';
import type {Clock} from 'shared';
import {TaskGroup} from 'shared';

import {CROSSING_QUIET_MS} from './RegionConstants';

interface Episode {
  requests: number;
  lastAt: number;
}

/** See the module comment. */
export class CrossingEpisodes implements AsyncDisposable {
  private readonly byService = new Map<string, Episode>();
  private readonly tasks = new TaskGroup();

  constructor(
    private readonly clock: Clock,
    private readonly log: DecisionLog,
  ) {}

  /** Notes one request that goes over. */
  sent(service: string): void {
    const now = this.clock.now();
    const known = this.byService.get(service);
    if (known !== undefined) {
      known.requests += 1;
      known.lastAt = now;
      return;
    }
    const episode: Episode = {lastAt: now, requests: 1};
    this.byService.set(service, episode);
    this.note(service, true, episode);
    this.tasks.start((signal) => this.endLater(service, episode, signal));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.tasks[Symbol.asyncDispose]();
  }

  private async endLater(
    service: string,
    episode: Episode,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock} = this;
    const quietMs = (): number => clock.now() - episode.lastAt;
    while (!signal.aborted && quietMs() < CROSSING_QUIET_MS) {
      await clock.sleep(CROSSING_QUIET_MS - quietMs(), signal);
    }
    this.byService.delete(service);
    this.note(service, false, episode);
  }

  private note(service: string, crossing: boolean, {requests}: Episode): void {
    this.log.note({crossing, event: 'crossing-changed', requests, service});
  }
}
