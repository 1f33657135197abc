/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {DecisionLog} from 'puffinturn-decisions';
import type {Clock} from 'shared';
import {TaskGroup} from 'shared';

import {EPISODE_IDLE_TIMEOUT_MS} from './RegionConstants';

/** A period during which requests of a service go to other regions. */
interface Episode {
  requests: number;
  lastRequestAt: number;
}

/**
 * Logs when requests of a service start to go to other regions and when they stop:
 * two log lines per episode, regardless of the number of requests.
 */
export class CrossRegionEpisodes implements AsyncDisposable {
  private readonly episodes = new Map<string, Episode>();
  private readonly tasks = new TaskGroup();

  constructor(
    private readonly clock: Clock,
    private readonly log: DecisionLog,
  ) {}

  /** Records one request to another region. */
  recordRequest(service: string): void {
    const now = this.clock.now();
    const existing = this.episodes.get(service);
    if (existing !== undefined) {
      existing.requests += 1;
      existing.lastRequestAt = now;
      return;
    }
    const episode: Episode = {lastRequestAt: now, requests: 1};
    this.episodes.set(service, episode);
    this.logChange(service, true, episode);
    this.tasks.start((signal) => this.endWhenIdle(service, episode, signal));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.tasks[Symbol.asyncDispose]();
  }

  private async endWhenIdle(
    service: string,
    episode: Episode,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock} = this;
    const idleMs = (): number => clock.now() - episode.lastRequestAt;
    while (!signal.aborted && idleMs() < EPISODE_IDLE_TIMEOUT_MS) {
      await clock.sleep(EPISODE_IDLE_TIMEOUT_MS - idleMs(), signal);
    }
    this.episodes.delete(service);
    this.logChange(service, false, episode);
  }

  private logChange(
    service: string,
    isCrossing: boolean,
    {requests}: Episode,
  ): void {
    this.log.note({
      crossing: isCrossing,
      event: 'crossing-changed',
      requests,
      service,
    });
  }
}
