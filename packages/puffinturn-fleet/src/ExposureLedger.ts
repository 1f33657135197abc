/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {AnswerTotals, createTallyKey, NO_ANSWERS} from './AnswerTotals';
import {
  CANARY_BUDGET_FRACTION,
  MIN_UNUSED_GRANT_LIMIT,
  UNUSED_GRANT_FRACTION,
} from './RolloutConstants';
import type {ExposureBound, ExposureReport, VersionTally} from './Rollouts';

/** State of one edge incarnation. */
interface EdgeState {
  readonly report: ExposureReport;
  readonly tallies: Map<string, VersionTally>;
  readonly reportedAt: number;
  /** Total granted to this incarnation, including grants of earlier leaders. */
  readonly granted: number;
}

/** State from the log at the start of a leader's term. */
export interface LedgerBaseline {
  /** Upper bound of the exposure granted by earlier leaders. */
  readonly granted: number;
  /** Lower bound of the requests to the service since the order. */
  readonly counted: number;
}

/**
 * Tracks the exposure of one rollout, the requests that edges send to the new version,
 * and grants more within the bound. Counts are cumulative per edge incarnation, so
 * duplicate and delayed reports are harmless. Grants of an incarnation that has ended
 * stay used.
 */
export class ExposureLedger {
  private readonly edges = new Map<string, EdgeState>();
  private readonly answers = new AnswerTotals();
  /** Granted in this leader's term. */
  private grantedByThisLeader = 0;
  /** Sum over all incarnations. */
  private reportedRequests = 0;
  private exposedRequests = 0;

  constructor(
    private readonly bound: ExposureBound,
    private readonly baseline: LedgerBaseline,
  ) {}

  /** Known requests to the service since the order. */
  get requests(): number {
    return Math.max(this.baseline.counted, this.reportedRequests);
  }

  /** Reported requests to the new version. */
  get exposed(): number {
    return this.exposedRequests;
  }

  /** Whether any edge has reported to this leader. */
  get hasReports(): boolean {
    return this.edges.size > 0;
  }

  /** Upper bound of the exposure granted by all leaders. */
  get granted(): number {
    return this.baseline.granted + this.grantedByThisLeader;
  }

  /** Exposure that may be granted in total at the current request count. */
  get budget(): number {
    const {extra, share} = this.bound;
    return Math.floor(CANARY_BUDGET_FRACTION * (share * this.requests + extra));
  }

  /** Whether the bound allows sending this many more requests to the new version. */
  canExposeAll(additionalRequests: number): boolean {
    const {extra, share} = this.bound;
    const exposed = this.granted + additionalRequests;
    return exposed <= share * (this.requests + additionalRequests) + extra;
  }

  /** Records a report of an edge. */
  recordReport(
    incarnationId: string,
    report: ExposureReport,
    now: number,
  ): void {
    const previous = this.edges.get(incarnationId);
    const latest = selectNewer(previous?.report, report);
    this.reportedRequests += latest.requests - (previous?.report.requests ?? 0);
    this.exposedRequests += latest.exposed - (previous?.report.exposed ?? 0);
    const tallies = previous?.tallies ?? new Map<string, VersionTally>();
    this.recordTallies(tallies, report.tallies);
    this.edges.set(incarnationId, {
      granted: Math.max(previous?.granted ?? 0, report.granted),
      reportedAt: now,
      report: latest,
      tallies,
    });
  }

  /** Increases the grant of an incarnation if possible. Returns its total grant. */
  grant(incarnationId: string): number {
    const edge = this.edges.get(incarnationId);
    if (edge === undefined) {
      return 0;
    }
    const increase = Math.max(
      0,
      Math.min(this.remainingBudget, this.grantDeficit(edge)),
    );
    const granted = edge.granted + increase;
    this.edges.set(incarnationId, {...edge, granted});
    this.grantedByThisLeader += increase;
    return granted;
  }

  /** Responses of all incarnations by route and version. */
  get tallies(): VersionTally[] {
    return this.answers.tallies;
  }

  /** Returns the reports received at or after `time`. */
  reportsSince(time: number): ExposureReport[] {
    return [...this.edges.values()]
      .filter(({reportedAt}) => reportedAt >= time)
      .map(({report}) => report);
  }

  private get remainingBudget(): number {
    return this.budget - this.granted;
  }

  /**
   * Returns how much an incarnation is below its fair share, limited by its unused
   * grants.
   */
  private grantDeficit({granted, report}: EdgeState): number {
    const {exposed, requests} = report;
    const fairShare =
      (this.budget * requests) / Math.max(1, this.reportedRequests);
    const maxUnused = Math.max(
      MIN_UNUSED_GRANT_LIMIT,
      requests * UNUSED_GRANT_FRACTION,
    );
    const unused = Math.max(0, granted - exposed);
    return Math.ceil(Math.min(fairShare - granted, maxUnused - unused));
  }

  /**
   * Ignores tallies with fewer responses than known: counts only grow, so they are
   * older.
   */
  private recordTallies(
    known: Map<string, VersionTally>,
    reported: readonly VersionTally[],
  ): void {
    for (const tally of reported) {
      const key = createTallyKey(tally.route, tally.version);
      const previous = known.get(key) ?? NO_ANSWERS;
      if (tally.answers > previous.answers) {
        this.answers.addIncrease(key, tally, previous);
        known.set(key, tally);
      }
    }
  }
}

/** Counts only grow, so a report with lower counts is older. */
function selectNewer(
  known: ExposureReport | undefined,
  report: ExposureReport,
): ExposureReport {
  return known !== undefined && isOlder(report, known) ? known : report;
}

function isOlder(report: ExposureReport, known: ExposureReport): boolean {
  return (
    report.requests < known.requests ||
    report.exposed < known.exposed ||
    countAnswers(report) < countAnswers(known)
  );
}

function countAnswers({tallies}: ExposureReport): number {
  return tallies.reduce((sum, {answers}) => sum + answers, 0);
}
