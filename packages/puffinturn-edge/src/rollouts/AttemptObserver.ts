/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {Clock} from 'shared';

import type {RelayOutcome} from '../callers/ResponseRelay';
import {RELAY_OUTCOME} from '../callers/ResponseRelay';
import type {ExchangeOutcome} from '../connections/Exchange';
import type {
  LatencyBaselines,
  LatencySample,
} from '../connections/LatencyBaselines';
import {
  CALLER_DISCONNECTED,
  MIN_SERVER_ERROR_STATUS,
  MISDIRECTED_REQUEST_STATUS,
} from '../EdgeConstants';
import type {ExposureTracker, ObservedResponse} from './ExposureTracker';

/** How relaying a response ended. */
export interface RelayResult {
  readonly end: RelayOutcome;
  readonly status: number;
  /** Stream events relayed to the caller. */
  readonly events: number;
  /** Whether the request reached its deadline. */
  readonly isTimedOut: boolean;
}

/** Observes one attempt to send a request to an upstream. */
export abstract class AttemptObserver {
  /** Called when the upstream responds, rejects the request or fails. */
  abstract onOutcome(outcome: ExchangeOutcome): void;

  /** Called when the response was relayed or broke off. */
  abstract onRelayEnd(end: RelayResult): void;
}

/** Records nothing; used for services without versions. */
export class NoOpAttemptObserver extends AttemptObserver {
  override onOutcome(): void {}

  override onRelayEnd(): void {}
}

/** Dependencies of a VersionAttemptObserver. */
export interface VersionAttemptObserverParts {
  readonly clock: Clock;
  readonly route: string;
  readonly version: string;
  /** Whether the upstream runs the stable version, whose latency is the baseline. */
  readonly isStable: boolean;
  /** Prompt tokens that the upstream processes before the first byte. */
  readonly promptTokens: number;
  /** Whether the upstream is cold; its times are then not compared. */
  readonly isCold: boolean;
  readonly baselines: LatencyBaselines;
  /** Tracker of the rollout that was active when the request was sent. */
  readonly tracker: ExposureTracker | undefined;
  readonly onStopped: (tracker: ExposureTracker) => void;
}

/** Reports the outcome and duration of one attempt to the tracker of a rollout. */
export class VersionAttemptObserver extends AttemptObserver {
  private readonly startedAt: number;
  private firstByteMs = 0;

  constructor(private readonly parts: VersionAttemptObserverParts) {
    super();
    this.startedAt = parts.clock.now();
  }

  override onOutcome(outcome: ExchangeOutcome): void {
    this.firstByteMs = this.elapsedMs;
    switch (outcome.kind) {
      case 'answer':
        this.recordOtherRequest();
        return;
      case 'broken':
        this.recordOtherRequest();
        if (outcome.cause !== CALLER_DISCONNECTED) {
          this.recordResponse(true, undefined);
        }
        return;
      case 'rejected':
        if (outcome.response.statusCode !== MISDIRECTED_REQUEST_STATUS) {
          this.recordOtherRequest();
        }
        return;
      case 'unsent':
    }
  }

  override onRelayEnd({end, events, status, isTimedOut}: RelayResult): void {
    const isError = status >= MIN_SERVER_ERROR_STATUS;
    if (end === RELAY_OUTCOME.incomplete || isError || isTimedOut) {
      this.recordResponse(true, undefined);
    } else if (end === RELAY_OUTCOME.complete) {
      this.recordCompleteResponse(events);
    }
  }

  private get elapsedMs(): number {
    return this.parts.clock.now() - this.startedAt;
  }

  private recordCompleteResponse(eventCount: number): void {
    const {isCold, baselines, isStable, route, promptTokens} = this.parts;
    const {elapsedMs: totalMs, firstByteMs} = this;
    const sample: LatencySample = {
      eventCount,
      firstByteMs,
      promptTokens,
      totalMs,
    };
    const latencyRatio = isCold
      ? undefined
      : baselines.ratioToBaseline(route, sample);
    if (isStable && !isCold) {
      baselines.addSample(route, sample);
    }
    this.recordResponse(false, latencyRatio);
  }

  /** Counts requests to other versions; those to the target are counted when sent. */
  private recordOtherRequest(): void {
    const {tracker, version} = this.parts;
    if (tracker !== undefined && version !== tracker.targetVersion) {
      tracker.recordOtherRequest();
    }
  }

  private recordResponse(
    failed: boolean,
    latencyRatio: number | undefined,
  ): void {
    const {tracker, route, onStopped, version} = this.parts;
    const outcome: ObservedResponse = {failed, latencyRatio, route, version};
    if (tracker?.recordResponse(outcome) === true) {
      onStopped(tracker);
    }
  }
}
