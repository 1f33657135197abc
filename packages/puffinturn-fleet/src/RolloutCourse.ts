/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * One roll-out as one leader sees it: what edges have told and were granted, and the
 * comparison of the versions. Does nothing by itself.
 */
import type {VersionAnswers} from 'puffinturn-decisions';

import type {ExposureBase} from './ExposureLedger';
import {ExposureLedger} from './ExposureLedger';
import {
  COLD_WAIT_PART,
  LEARN_MS,
  LEARN_WITHOUT_REPORTS_MS,
  MAIN_ROUTE_PART,
  REPORTED_LATELY_MS,
} from './RolloutConstants';
import type {ExposureBound, Rollout, ServiceVersions} from './Rollouts';
import {ROLLOUT_STATE} from './Rollouts';
import type {RolloutVerdict} from './RolloutVerdict';
import {verdictOn} from './RolloutVerdict';
import {slotsOf} from './ServiceUpstreams';
import type {UpstreamRecord} from './Upstreams';
import {VersionComparison} from './VersionComparison';

/** What a course is judged by besides the reports of edges. */
export interface CourseSight {
  /** By the steady clock, ms. */
  readonly now: number;
  /** Time since the order, ms. */
  readonly elapsedMs: number;
  readonly rollout: Rollout;
  readonly upstreams: readonly UpstreamRecord[];
}

/** See the module comment. */
export class RolloutCourse {
  readonly number: number;
  readonly ledger: ExposureLedger;
  private readonly comparison: VersionComparison;
  private shiftingSince: number | undefined;
  private ledSince: number | undefined;
  private heardSince: number | undefined;

  constructor(
    private readonly versions: ServiceVersions & {readonly rollout: Rollout},
    bound: ExposureBound,
    base: ExposureBase,
  ) {
    const {rollout, stableVersion} = versions;
    this.number = rollout.number;
    this.ledger = new ExposureLedger(bound, base);
    this.comparison = new VersionComparison(
      stableVersion,
      rollout.targetVersion,
    );
  }

  /** Compares what was reported since the last look; the verdict, if there is one. */
  judge(sight: CourseSight): RolloutVerdict | undefined {
    const {elapsedMs, now, rollout, upstreams} = sight;
    const {service, stableVersion} = this.versions;
    const {durationMs, state, targetVersion} = rollout;
    if (state === ROLLOUT_STATE.shifting) {
      this.shiftingSince ??= now;
    }
    this.ledSince ??= now;
    if (this.ledger.hasReports) {
      this.heardSince ??= now;
    }
    this.comparison.take(this.ledger.tallies);
    return verdictOn({
      answers: this.comparison.targetAnswers,
      bad: this.comparison.cause,
      durationMs,
      elapsedMs,
      isShifted: this.isShifted(now),
      isSuspect: this.comparison.isSuspect,
      hasHeardEdges: this.hasHeardEdges(now),
      restFits: this.restFits(elapsedMs),
      routeAnswers: this.comparison.fewestOnMainRoute(MAIN_ROUTE_PART),
      ...this.answeredParts(),
      shiftingMs: now - (this.shiftingSince ?? now),
      stableSlots: slotsOf(upstreams, service, stableVersion),
      state,
      targetSlots: slotsOf(upstreams, service, targetVersion),
    });
  }

  /**
   * Whether edges may be granted exposure: not before there is a warm upstream, as cold
   * ones are slow whatever their version, unless that takes too long.
   */
  mayExpose(elapsedMs: number, hasWarmUpstream: boolean): boolean {
    const {durationMs} = this.versions.rollout;
    return hasWarmUpstream || elapsedMs >= COLD_WAIT_PART * durationMs;
  }

  /** What a verdict rests on. */
  figures(): VersionAnswers[] {
    return this.comparison.figures();
  }

  /** Whether all requests until the deadline, at the rate so far, may be exposed. */
  private restFits(elapsedMs: number): boolean {
    const leftMs = this.versions.rollout.durationMs - elapsedMs;
    const rate = this.ledger.requests / Math.max(1, elapsedMs);
    return this.ledger.mayExposeAll(rate * Math.max(0, leftMs));
  }

  /** Answers to requests from before the order may make a part too large. */
  private answeredParts() {
    const {exposed, requests} = this.ledger;
    const {stableAnswers, targetAnswers} = this.comparison;
    return {
      stableAnswered: partOf(stableAnswers, requests - exposed),
      targetAnswered: partOf(targetAnswers, exposed),
    };
  }

  private hasHeardEdges(now: number): boolean {
    const {heardSince = Infinity, ledSince = Infinity} = this;
    return (
      now - heardSince >= LEARN_MS || now - ledSince >= LEARN_WITHOUT_REPORTS_MS
    );
  }

  private isShifted(now: number): boolean {
    const reports = this.ledger.reportsSince(now - REPORTED_LATELY_MS);
    return (
      reports.length > 0 &&
      reports.every(({openAtFormer, shifted}) => shifted && openAtFormer === 0)
    );
  }
}

function partOf(answers: number, requests: number): number {
  return Math.min(1, answers / Math.max(1, requests));
}
