/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * One request at one upstream, as a roll-out of its service sees it: whether it was
 * answered, how, and how long that took.
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
import type {AnswerJudgement, ExposureAccount} from './ExposureAccount';

/** How passing an answer on has ended. */
export interface ObservedEnd {
  readonly end: RelayEnd;
  readonly status: number;
  /** Events of this answer that were passed on. */
  readonly events: number;
  /** Whether the time for the request was over. */
  readonly timedOut: boolean;
}

/** Follows one attempt. */
export abstract class Observation {
  /** It is known how the attempt began. */
  abstract began(outcome: ExchangeOutcome): void;

  /** The answer was passed on, or broke off. */
  abstract ended(end: ObservedEnd): void;
}

/** Of a service without versions nothing is counted. */
export class SilentObservation extends Observation {
  override began(): void {}

  override ended(): void {}
}

/** What a VersionObservation is made of. */
export interface VersionObservationParts {
  readonly clock: Clock;
  readonly route: string;
  readonly version: string;
  /** Whether it is an answer by which others are measured. */
  readonly isStable: boolean;
  /** Prompt tokens to read before the first byte. */
  readonly tokens: number;
  /** Whether the upstream is cold: then its times say nothing of its version. */
  readonly cold: boolean;
  readonly expectations: AnswerExpectations;
  /** The roll-out under way as the request was sent. */
  readonly account: ExposureAccount | undefined;
  readonly stopped: (account: ExposureAccount) => void;
}

/** See the module comment. */
export class VersionObservation extends Observation {
  private readonly startedAt: number;
  private firstMs = 0;

  constructor(private readonly parts: VersionObservationParts) {
    super();
    this.startedAt = parts.clock.now();
  }

  override began(outcome: ExchangeOutcome): void {
    this.firstMs = this.elapsedMs;
    switch (outcome.kind) {
      case 'answer':
        this.reached();
        return;
      case 'broken':
        this.reached();
        if (outcome.cause !== CALLER_LEFT) {
          this.judge(true, undefined);
        }
        return;
      case 'rejected':
        if (outcome.answer.statusCode !== MISDIRECTED) {
          this.reached();
        }
        return;
      case 'unsent':
    }
  }

  override ended({end, events, status, timedOut}: ObservedEnd): void {
    const isError = status >= FIRST_ERROR_STATUS;
    if (end === RELAY.broken || isError || timedOut) {
      this.judge(true, undefined);
    } else if (end === RELAY.whole) {
      this.measure(events);
    }
  }

  private get elapsedMs(): number {
    return this.parts.clock.now() - this.startedAt;
  }

  private measure(events: number): void {
    const {cold, expectations, isStable, route, tokens} = this.parts;
    const {elapsedMs: wholeMs, firstMs} = this;
    const sample: AnswerSample = {events, firstMs, tokens, wholeMs};
    const ratio = cold ? undefined : expectations.ratio(route, sample);
    if (isStable && !cold) {
      expectations.learn(route, sample);
    }
    this.judge(false, ratio);
  }

  /** A request to the new version was counted as it was sent. */
  private reached(): void {
    const {account, version} = this.parts;
    if (account !== undefined && version !== account.targetVersion) {
      account.reachedOther();
    }
  }

  private judge(failed: boolean, ratio: number | undefined): void {
    const {account, route, stopped, version} = this.parts;
    const answer: AnswerJudgement = {failed, ratio, route, version};
    if (account?.judge(answer) === true) {
      stopped(account);
    }
  }
}
