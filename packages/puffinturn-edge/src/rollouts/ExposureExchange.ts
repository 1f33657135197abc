/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Tells the leader some times a second what this edge does in roll-outs, through a
 * control box, and takes in what it may do. Counts are whole and only grow, so a
 * message that is lost is made good by the next one.
 */
import type {ExposureGrant, ExposureRequest} from 'puffinturn-fleet';
import {FLEET_SERVICE} from 'puffinturn-fleet';
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';
import {sleepUnlessNotified, TaskGroup} from 'shared';

import {askForGrants} from '../ControlQuestions';
import type {Exposures} from './Exposures';

/** How often the leader is told while there is something to tell, ms. */
const TELL_EVERY_MS = 250;

/** What has not changed is told this often, ms: a new leader knows nothing of it. */
const TELL_AGAIN_MS = 1_000;

/** Longest time for an answer of one control box, ms. */
const ANSWER_MS = 500;

/** How often to look whether there is a roll-out, where nothing told of one, ms. */
const IDLE_MS = 60_000;

/** What an ExposureExchange is made of. */
export interface ExposureExchangeParts {
  readonly box: string;
  /** One life of this edge. */
  readonly life: string;
  readonly clock: Clock;
  readonly link: Link;
  /** Control boxes, the one to ask first at the front. */
  readonly controls: () => readonly string[];
  readonly exposures: Exposures;
}

/** See the module comment. */
export class ExposureExchange implements AsyncDisposable {
  private readonly tasks = new TaskGroup();
  /** What was told last and answered. */
  private told = '';
  private toldAt = -Infinity;

  constructor(private readonly parts: ExposureExchangeParts) {
    this.tasks.start((signal) => this.run(signal));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.tasks[Symbol.asyncDispose]();
  }

  private async run(signal: AbortSignal): Promise<void> {
    const {clock, exposures} = this.parts;
    while (!signal.aborted) {
      if (exposures.active) {
        await this.tell();
        await clock.sleep(TELL_EVERY_MS, signal);
      } else {
        await sleepUnlessNotified(clock, exposures.changed, IDLE_MS, signal);
      }
    }
  }

  private async tell(): Promise<void> {
    const {box, clock, controls, exposures, life, link} = this.parts;
    const reports = exposures.reports();
    const text = JSON.stringify(reports);
    const isDue = clock.now() - this.toldAt >= TELL_AGAIN_MS;
    if (text === this.told && !isDue) {
      return;
    }
    const request: ExposureRequest = {box, life, reports};
    const grants = await askForGrants<readonly ExposureGrant[]>(
      link,
      controls(),
      {answerMs: ANSWER_MS, request, service: FLEET_SERVICE.exposure},
    );
    if (grants !== undefined) {
      this.told = text;
      this.toldAt = clock.now();
      exposures.grant(grants);
    }
  }
}
