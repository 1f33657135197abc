/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {Clock} from 'shared';

import type {RelayEnd} from '../callers/AnswerRelay';
import {RELAY} from '../callers/AnswerRelay';
import type {
  AnswerExpectations,
  AnswerSample,
} from '../connections/AnswerExpectations';
import type {ExchangeOutcome} from '../connections/Exchange';
import {CALLER_LEFT, FIRST_ERROR_STATUS, MISDIRECTED} from '../EdgeConstants';
import type {AnswerOutcome, ExposureTracker} from './ExposureAccount';

/** How relaying an answer ended. */
export interface RelayResult {
  readonly end: RelayEnd;
  readonly status: number;
  /** Stream events relayed to the caller. */
  readonly events: number;
  /** Whether the request reached its deadline. */
  readonly timedOut: boolean;
}

/** Observes one attempt to send a request to an upstream. */
export abstract class Observation {
  /** Called when the upstream answers, rejects the request or fails. */
  abstract began(outcome: ExchangeOutcome): void;

  /** Called when the answer was relayed or broke off. */
  abstract ended(end: RelayResult): void;
}

/** Records nothing; used for services without versions. */
export class NoOpAttemptObserver extends Observation {
  override began(): void {}

  override ended(): void {}
}

/** Dependencies of a VersionAttemptObserver. */
export interface VersionAttemptObserverParts {
  readonly clock: Clock;
  readonly route: string;
  readonly version: string;
  /** Whether the upstream runs the stable version, whose times set expectations. */
  readonly isStable: boolean;
  /** Prompt tokens that the upstream reads before the first byte. */
  readonly promptTokens: number;
  /** Whether the upstream is cold; its times are then not compared. */
  readonly isCold: boolean;
  readonly expectations: AnswerExpectations;
  /** Tracker of the rollout that was active when the request was sent. */
  readonly tracker: ExposureTracker | undefined;
  readonly onStopped: (tracker: ExposureTracker) => void;
}

/** Reports the outcome and duration of one attempt to the tracker of a rollout. */
export class VersionAttemptObserver extends Observation {
  private readonly startedAt: number;
  private firstMs = 0;

  constructor(private readonly parts: VersionAttemptObserverParts) {
    super();
    this.startedAt = parts.clock.now();
  }

  override began(outcome: ExchangeOutcome): void {
    this.firstMs = this.elapsedMs;
    switch (outcome.kind) {
      case 'answer':
        this.recordOtherRequest();
        return;
      case 'broken':
        this.recordOtherRequest();
        if (outcome.cause !== CALLER_LEFT) {
          this.recordAnswer(true, undefined);
        }
        return;
      case 'rejected':
        if (outcome.answer.statusCode !== MISDIRECTED) {
          this.recordOtherRequest();
        }
        return;
      case 'unsent':
    }
  }

  override ended({end, events, status, timedOut}: RelayResult): void {
    const isError = status >= FIRST_ERROR_STATUS;
    if (end === RELAY.broken || isError || timedOut) {
      this.recordAnswer(true, undefined);
    } else if (end === RELAY.whole) {
      this.recordCompleteAnswer(events);
    }
  }

  private get elapsedMs(): number {
    return this.parts.clock.now() - this.startedAt;
  }

  private recordCompleteAnswer(events: number): void {
    const {isCold, expectations, isStable, route, promptTokens} = this.parts;
    const {elapsedMs: wholeMs, firstMs} = this;
    const sample: AnswerSample = {
      events,
      firstMs,
      tokens: promptTokens,
      wholeMs,
    };
    const latencyRatio = isCold ? undefined : expectations.ratio(route, sample);
    if (isStable && !isCold) {
      expectations.learn(route, sample);
    }
    this.recordAnswer(false, latencyRatio);
  }

  /** Counts requests to other versions; those to the target are counted when sent. */
  private recordOtherRequest(): void {
    const {tracker, version} = this.parts;
    if (tracker !== undefined && version !== tracker.targetVersion) {
      tracker.recordOtherRequest();
    }
  }

  private recordAnswer(
    failed: boolean,
    latencyRatio: number | undefined,
  ): void {
    const {tracker, route, onStopped, version} = this.parts;
    const outcome: AnswerOutcome = {failed, latencyRatio, route, version};
    if (tracker?.recordAnswer(outcome) === true) {
      onStopped(tracker);
    }
  }
}
