/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {VersionResponseCounts} from 'puffinturn-decisions';

import type {LedgerBaseline} from './ExposureLedger';
import {ExposureLedger} from './ExposureLedger';
import {
  MAIN_ROUTE_FRACTION,
  MAX_REPORT_WAIT_MS,
  MAX_WARMUP_FRACTION,
  REPORT_EXPIRY_MS,
  REPORT_GATHER_MS,
} from './RolloutConstants';
import type {ExposureBound, Rollout, ServiceVersions} from './Rollouts';
import {ROLLOUT_STATE} from './Rollouts';
import type {RolloutVerdict} from './RolloutVerdict';
import {decideVerdict} from './RolloutVerdict';
import {readySlots} from './ServiceUpstreams';
import type {UpstreamRecord} from './UpstreamTable';
import {VersionComparison} from './VersionComparison';

/** Input of an evaluation besides the reports of edges. */
export interface EvaluationInput {
  /** Current time on the monotonic clock, ms. */
  readonly now: number;
  /** Time since the order, ms. */
  readonly elapsedMs: number;
  readonly rollout: Rollout;
  readonly upstreams: readonly UpstreamRecord[];
}

/**
 * Evaluates one rollout on the leader from the reports of edges. It compares the
 * versions and returns verdicts, but changes nothing itself.
 */
export class RolloutEvaluator {
  readonly number: number;
  readonly ledger: ExposureLedger;
  private readonly comparison: VersionComparison;
  private shiftStartedAt: number | undefined;
  private leadingSince: number | undefined;
  private firstReportAt: number | undefined;

  constructor(
    private readonly versions: ServiceVersions & {readonly rollout: Rollout},
    bound: ExposureBound,
    baseline: LedgerBaseline,
  ) {
    const {rollout, stableVersion} = versions;
    this.number = rollout.number;
    this.ledger = new ExposureLedger(bound, baseline);
    this.comparison = new VersionComparison(
      stableVersion,
      rollout.targetVersion,
    );
  }

  /**
   * Compares the responses reported since the last call. Returns a verdict if there is
   * one.
   */
  evaluate(input: EvaluationInput): RolloutVerdict | undefined {
    const {elapsedMs, now, rollout, upstreams} = input;
    const {service, stableVersion} = this.versions;
    const {durationMs, state, targetVersion} = rollout;
    if (state === ROLLOUT_STATE.shifting) {
      this.shiftStartedAt ??= now;
    }
    this.leadingSince ??= now;
    if (this.ledger.hasReports) {
      this.firstReportAt ??= now;
    }
    this.comparison.update(this.ledger.tallies);
    return decideVerdict({
      targetAnswers: this.comparison.targetAnswers,
      badCause: this.comparison.badCause,
      durationMs,
      elapsedMs,
      isShiftFinished: this.isShiftFinished(now),
      isSuspect: this.comparison.isSuspect,
      hasWaitedForReports: this.hasWaitedForReports(now),
      canExposeRemaining: this.canExposeRemaining(elapsedMs),
      minMainRouteAnswers:
        this.comparison.minMainRouteAnswers(MAIN_ROUTE_FRACTION),
      ...this.answeredFractions(),
      shiftingMs: now - (this.shiftStartedAt ?? now),
      stableSlots: readySlots(upstreams, service, stableVersion),
      state,
      targetSlots: readySlots(upstreams, service, targetVersion),
    });
  }

  /**
   * Whether edges may be granted exposure. Waits for a warm upstream, because cold ones
   * are slow in any version, but only for a limited time.
   */
  canExpose(elapsedMs: number, hasWarmUpstream: boolean): boolean {
    const {durationMs} = this.versions.rollout;
    return hasWarmUpstream || elapsedMs >= MAX_WARMUP_FRACTION * durationMs;
  }

  /** Response counts for the record of a verdict. */
  summarize(): VersionResponseCounts[] {
    return this.comparison.summarize();
  }

  /**
   * Whether the exposure bound covers all requests until the deadline at the current
   * rate.
   */
  private canExposeRemaining(elapsedMs: number): boolean {
    const remainingMs = this.versions.rollout.durationMs - elapsedMs;
    const requestsPerMs = this.ledger.requests / Math.max(1, elapsedMs);
    return this.ledger.canExposeAll(requestsPerMs * Math.max(0, remainingMs));
  }

  /**
   * The fractions may be too high, as responses to requests from before the order are
   * included.
   */
  private answeredFractions() {
    const {exposed, requests} = this.ledger;
    const {stableAnswers, targetAnswers} = this.comparison;
    return {
      stableAnsweredFraction: answeredFraction(
        stableAnswers,
        requests - exposed,
      ),
      targetAnsweredFraction: answeredFraction(targetAnswers, exposed),
    };
  }

  private hasWaitedForReports(now: number): boolean {
    const {firstReportAt = Infinity, leadingSince = Infinity} = this;
    return (
      now - firstReportAt >= REPORT_GATHER_MS ||
      now - leadingSince >= MAX_REPORT_WAIT_MS
    );
  }

  private isShiftFinished(now: number): boolean {
    const reports = this.ledger.reportsSince(now - REPORT_EXPIRY_MS);
    return (
      reports.length > 0 &&
      reports.every(({openAtFormer, shifted}) => shifted && openAtFormer === 0)
    );
  }
}

function answeredFraction(answers: number, requests: number): number {
  return Math.min(1, answers / Math.max(1, requests));
}
